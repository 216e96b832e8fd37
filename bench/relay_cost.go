package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
)

// RelayCostPlan configures a measurement of the cost of relaying by one entry
// instance.
type RelayCostPlan struct {
	// Bin is the directory with the programs.
	Bin string
	// Streams is the number of streams read through the instance. The first Sampled
	// ones are also read directly from the engine, to compare the arrival times of
	// their tokens.
	Streams, Sampled int
	Step             time.Duration
	MeasureFor       time.Duration
}

// RelayCost is the measured cost of relaying.
type RelayCost struct {
	Streams          int     `json:"streams"`
	StepMS           float64 `json:"step_ms"`
	Seconds          float64 `json:"seconds"`
	Tokens           int64   `json:"tokens"`
	ProcessorSeconds float64 `json:"processor_s"`
	// TokensPerProcessorSecond is Tokens divided by ProcessorSeconds.
	TokensPerProcessorSecond float64 `json:"tokens_per_core_s"`
	// Compared counts the tokens whose arrival times were compared.
	Compared int `json:"compared"`
	// AddedP50US and AddedP99US are percentiles of the added latency: the arrival
	// time through the instance minus the arrival time directly from the engine.
	AddedP50US float64 `json:"added_p50_us"`
	AddedP99US float64 `json:"added_p99_us"`
	// StreamKiB is the growth of the instance's resident memory per stream.
	StreamKiB float64 `json:"stream_kib"`
	// Violations counts the tokens that arrived out of order.
	Violations int64 `json:"violations"`
}

const (
	// warmUp is the time from the first token of the last stream to the measurement.
	warmUp      = 2 * time.Second
	engineCount = 2
	// clockTicksPerSecond is the unit of processor time in /proc.
	clockTicksPerSecond = 100
)

// PrintRelayCost measures the cost of relaying and prints it as one line of JSON. It
// returns an error if tokens arrived out of order.
func PrintRelayCost(ctx context.Context, plan RelayCostPlan, out io.Writer) error {
	cost, err := MeasureRelayCost(ctx, plan)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(cost); err != nil {
		return err
	}
	if cost.Violations > 0 {
		return errorx.AssertionFailed.New("%d tokens arrived out of order", cost.Violations)
	}
	return nil
}

// MeasureRelayCost starts an entry instance and engines, reads streams through the
// instance at the engines' pace, and measures the instance's resource usage and
// added latency.
func MeasureRelayCost(ctx context.Context, plan RelayCostPlan) (RelayCost, error) {
	dir, err := os.MkdirTemp("", "mangoloft-relay-")
	if err != nil {
		return RelayCost{}, err
	}
	defer os.RemoveAll(dir)
	fleet, err := Start(ctx, Plan{Bin: plan.Bin, Dir: dir, DataCentres: 1, Entries: 1, Engines: engineCount, Services: 1, Step: plan.Step})
	defer fleet.Close()
	if err != nil {
		return RelayCost{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := &costMeter{fleet: fleet, client: &http.Client{Transport: &http.Transport{MaxConnsPerHost: 0, DisableKeepAlives: true}}}
	defer m.group.Wait()
	defer cancel()
	return m.measure(ctx, plan)
}

// costMeter reads streams and counts their tokens.
type costMeter struct {
	fleet          *Fleet
	client         *http.Client
	group          sync.WaitGroup
	startedStreams atomic.Int64
	tokens         atomic.Int64
	violations     atomic.Int64
}

func (m *costMeter) measure(ctx context.Context, plan RelayCostPlan) (RelayCost, error) {
	entry := m.fleet.Entries[0]
	idleKiB, err := entry.ResidentKiB()
	if err != nil {
		return RelayCost{}, err
	}
	tokens := int((readyTimeout + warmUp + plan.MeasureFor) / plan.Step)
	samples := make([]*arrivalPair, plan.Sampled)
	for i := range plan.Streams {
		var pair *arrivalPair
		if i < len(samples) {
			pair = &arrivalPair{relayed: make([]time.Time, tokens), direct: make([]time.Time, tokens)}
			samples[i] = pair
		}
		m.group.Go(func() { m.read(ctx, entry, tokens, pair) })
	}
	if err := m.waitUntilStarted(ctx, int64(plan.Streams)); err != nil {
		return RelayCost{}, err
	}
	before, err := m.sample(entry)
	if err != nil {
		return RelayCost{}, err
	}
	select {
	case <-ctx.Done():
		return RelayCost{}, ctx.Err()
	case <-time.After(plan.MeasureFor):
	}
	after, err := m.sample(entry)
	if err != nil {
		return RelayCost{}, err
	}
	cost := RelayCost{
		Streams: plan.Streams, StepMS: float64(plan.Step.Microseconds()) / 1000, Seconds: after.at.Sub(before.at).Seconds(),
		Tokens: after.tokens - before.tokens, ProcessorSeconds: after.processor - before.processor,
		StreamKiB: float64(after.residentKiB-idleKiB) / float64(plan.Streams), Violations: m.violations.Load(),
	}
	cost.TokensPerProcessorSecond = float64(cost.Tokens) / cost.ProcessorSeconds
	var added []time.Duration
	for _, pair := range samples {
		added = append(added, pair.addedLatencies(before.at, after.at)...)
	}
	if cost.Compared = len(added); cost.Compared > 0 {
		slices.Sort(added)
		cost.AddedP50US = float64(added[len(added)/2].Microseconds())
		cost.AddedP99US = float64(added[len(added)*99/100].Microseconds())
	}
	return cost, nil
}

func (m *costMeter) waitUntilStarted(ctx context.Context, streams int64) error {
	deadline := time.Now().Add(readyTimeout)
	for m.startedStreams.Load() < streams {
		if time.Now().After(deadline) {
			return errorx.TimeoutElapsed.New("%d of %d streams started", m.startedStreams.Load(), streams)
		}
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(warmUp):
		return nil
	}
}

// costSample contains the values of all counters at one time.
type costSample struct {
	at          time.Time
	tokens      int64
	processor   float64
	residentKiB int
}

func (m *costMeter) sample(p *Process) (costSample, error) {
	processor, err := p.ProcessorSeconds()
	if err != nil {
		return costSample{}, err
	}
	resident, err := p.ResidentKiB()
	return costSample{time.Now(), m.tokens.Load(), processor, resident}, err
}

// arrivalPair contains the arrival times of the tokens of one stream, relayed by the
// instance and directly from the engine.
type arrivalPair struct {
	mu              sync.Mutex
	relayed, direct []time.Time
}

// addedLatencies returns the added latencies of the tokens relayed between start
// and end.
func (a *arrivalPair) addedLatencies(start, end time.Time) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var added []time.Duration
	for i, direct := range a.direct {
		if relayed := a.relayed[i]; !direct.IsZero() && relayed.After(start) && relayed.Before(end) {
			added = append(added, relayed.Sub(direct))
		}
	}
	return added
}

func (a *arrivalPair) recordArrival(times []time.Time, index int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if index < len(times) {
		times[index] = time.Now()
	}
}

// read reads one stream through the instance. If pair is not nil, it also reads the
// same generation directly from the engine and records the arrival times.
func (m *costMeter) read(ctx context.Context, entry *Process, tokens int, pair *arrivalPair) {
	body := fmt.Sprintf(`{"model": %q, "prompt": "output_tokens=%d", "stream": true}`, DraftClass, tokens)
	nextIndex := 0
	m.readTokens(ctx, http.MethodPost, "http://"+entry.Addr.String()+"/v1/completions", body, func(generation string, index int) {
		if index != nextIndex {
			m.violations.Add(1)
		}
		if nextIndex == 0 {
			m.startedStreams.Add(1)
			if pair != nil {
				m.group.Go(func() { m.readDirectly(ctx, generation, pair) })
			}
		}
		nextIndex++
		m.tokens.Add(1)
		if pair != nil {
			pair.recordArrival(pair.relayed, index)
		}
	})
}

// readDirectly reads the generation from all engines. Only the engine that
// runs it sends tokens.
func (m *costMeter) readDirectly(ctx context.Context, generation string, pair *arrivalPair) {
	for _, engine := range m.fleet.Engines {
		target := fmt.Sprintf("http://%s/generations/%s?reader=bench&from=0", engine.Addr, generation)
		m.readTokens(ctx, http.MethodGet, target, "", func(_ string, index int) { pair.recordArrival(pair.direct, index) })
	}
}

// readTokens reads an event stream and calls onToken for the text of each event. It
// searches for the text without decoding the JSON, because it shares the processors
// with the instance that it measures.
func (m *costMeter) readTokens(ctx context.Context, method, target, body string, onToken func(generation string, index int)) {
	request, err := http.NewRequestWithContext(ctx, method, target, strings.NewReader(body))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+Credential)
	response, err := m.client.Do(request)
	if err != nil {
		return // waitUntilStarted fails if a stream doesn't start.
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		_, rest, found := bytes.Cut(lines.Bytes(), []byte(`"text":" `))
		if !found {
			continue
		}
		text, _, _ := bytes.Cut(rest, []byte(`"`))
		generation, number, _ := bytes.Cut(text, []byte("/"))
		if index, err := strconv.Atoi(string(number)); err == nil {
			onToken(string(generation), index)
		}
	}
}

// ResidentKiB returns the resident memory of the process.
func (p *Process) ResidentKiB() (int, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(content)) {
		if rest, found := strings.CutPrefix(line, "VmRSS:"); found {
			return strconv.Atoi(strings.Fields(rest)[0])
		}
	}
	return 0, errorx.ExternalError.New("%s has no resident memory", p.Name)
}

// ProcessorSeconds returns the processor time that the process has used.
func (p *Process) ProcessorSeconds() (float64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		return 0, err
	}
	// The command name, in parentheses, may contain spaces. The user and system
	// times are the 12th and 13th fields after it.
	_, rest, _ := strings.Cut(string(content), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0, errorx.ExternalError.New("%s has no processor times", p.Name)
	}
	var ticks int
	for _, field := range fields[11:13] {
		n, err := strconv.Atoi(field)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return float64(ticks) / clockTicksPerSecond, nil
}
