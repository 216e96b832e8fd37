package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"mangoloft/verdict"
)

// SoakPlan says how long and how hard to soak.
type SoakPlan struct {
	Bin    string
	Seed   uint64
	Length time.Duration
	// Streams, Charges and Reads are how many callers of each kind work at once.
	Streams, Charges, Reads int
}

// SoakFigures are what a soak prints.
type SoakFigures struct {
	Seed    uint64         `json:"seed"`
	Seconds float64        `json:"seconds"`
	Streams map[string]int `json:"streams"`
	Resumes int            `json:"resumes"`
	// Refusals counts the answers that were not a success, by reason.
	Refusals map[string]int `json:"refusals"`
	// CrossTeamAttempts counts the tries of another team to get at a team's requests.
	CrossTeamAttempts int            `json:"prying"`
	Tokens            int            `json:"tokens"`
	Charges           map[string]int `json:"charges"`
	Attempts          int            `json:"charge_attempts"`
	Reads             map[string]int `json:"reads"`
	Versions          int            `json:"config_versions_seen"`
	Faults            map[string]int `json:"faults"`
	// FaultErrors are faults that could not be brought about or ended.
	FaultErrors []string `json:"fault_errors"`
	Violations  []string `json:"violations"`
}

// soak is a running soak.
type soak struct {
	plan  SoakPlan
	fleet *Fleet
	http  *http.Client

	mu      sync.Mutex
	figures SoakFigures
	// secrets are what the team carries and another team tries to use.
	secrets secrets
	// answered maps each charge's body to what its caller was told.
	answered map[string]chargeHistory
}

// chargeHistory is what the caller of one charge was told, over all attempts.
type chargeHistory struct {
	succeeded bool
	// notRun says that the last word was verdict not_run, which speaks of the
	// ticket and so of the attempts before, too.
	notRun bool
}

// callerSilence is how long a caller waits for any byte before it takes its
// connection for lost.
const callerSilence = 5 * time.Second

// Soak runs load and faults against a fleet for the plan's time, checks every
// promise, and returns the figures. The error is not about violations.
func Soak(ctx context.Context, plan SoakPlan) (SoakFigures, error) {
	dir, err := os.MkdirTemp("", "mangoloft-soak-")
	if err != nil {
		return SoakFigures{}, err
	}
	fleet, err := Start(ctx, Plan{
		Bin: plan.Bin, Dir: dir, DataCentres: 2, Entries: 3, Engines: 2, Services: 1, Step: 5 * time.Millisecond, Proxies: true,
	})
	defer fleet.Close()
	if err != nil {
		return SoakFigures{}, err
	}
	s := &soak{plan: plan, fleet: fleet, http: silenceClient(callerSilence), answered: map[string]chargeHistory{}}
	s.figures = SoakFigures{
		Seed: plan.Seed, Streams: map[string]int{}, Charges: map[string]int{}, Reads: map[string]int{}, Refusals: map[string]int{},
		FaultErrors: []string{}, Violations: []string{},
	}
	if err := s.publishPryingTeam(ctx); err != nil {
		return s.figures, err
	}
	start := time.Now()
	s.run(ctx, start)
	if err := s.checkCharges(); err != nil {
		return s.figures, err
	}
	s.figures.Seconds = time.Since(start).Seconds()
	if len(s.figures.Violations) == 0 {
		return s.figures, os.RemoveAll(dir)
	}
	s.figures.Violations = append(s.figures.Violations, "logs and trails are kept in "+dir)
	return s.figures, nil
}

// silenceClient returns a client whose connections are lost when nothing comes
// for the time.
func silenceClient(silence time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &impatientConn{conn, silence}, nil
		},
		MaxIdleConnsPerHost: 16,
	}}
}

func (s *soak) run(ctx context.Context, start time.Time) {
	// Callers begin nothing new in the last part of the quiet end.
	beginUntil := start.Add(s.plan.Length - quietEnd/2)
	faults := &injector{fleet: s.fleet, start: start, busy: map[*Process]bool{}, counts: map[string]int{}}
	var callers, background sync.WaitGroup
	background.Go(func() { faults.run(ctx, Schedule(s.plan.Seed, s.plan.Length)) })
	watching, stopWatching := context.WithCancel(ctx)
	background.Go(func() { s.watchVersions(watching) })
	loops := []struct {
		count int
		once  func(context.Context, *rand.Rand, string)
	}{{s.plan.Streams, s.stream}, {s.plan.Charges, s.charge}, {s.plan.Reads, s.readOnce}, {1, s.pry}}
	for kind, loop := range loops {
		for n := range loop.count {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(s.plan.Seed, uint64(100*kind+n+2)))
				for i := 0; time.Now().Before(beginUntil) && ctx.Err() == nil; i++ {
					loop.once(ctx, random, fmt.Sprintf("%d-%d-%d", kind, n, i))
				}
			})
		}
	}
	callers.Wait()
	stopWatching()
	background.Wait()
	s.figures.Faults, s.figures.FaultErrors = faults.counts, append(s.figures.FaultErrors, faults.errs...)
}

func (s *soak) count(change func(f *SoakFigures)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.figures)
}

func (s *soak) refused(reason string) {
	s.count(func(f *SoakFigures) { f.Refusals[reason]++ })
}

func (s *soak) violation(format string, args ...any) {
	s.count(func(f *SoakFigures) { f.Violations = append(f.Violations, fmt.Sprintf(format, args...)) })
}

func (s *soak) entry(random *rand.Rand) *Process {
	return s.fleet.Entries[random.IntN(len(s.fleet.Entries))]
}

const (
	// comeBackFor is how long a caller tries to go on.
	comeBackFor = 20 * time.Second
	// comeBackPause is the time between two tries.
	comeBackPause = 200 * time.Millisecond
	maxSoakTokens = 400
	streamLimit   = 60 * time.Second
)

// stream reads one stream to its end, wherever that takes the reader.
func (s *soak) stream(ctx context.Context, random *rand.Rand, name string) {
	ctx, cancel := context.WithTimeout(ctx, streamLimit)
	defer cancel()
	tokens := 1 + random.IntN(maxSoakTokens)
	r := &Reader{Credential: Credential}
	prompt := fmt.Sprintf("draft %s output_tokens=%d", name, tokens)
	err := r.Begin(ctx, s.http, s.entry(random).Addr, DraftClass, prompt)
	resumes := 0
	for giveUpAt := time.Now().Add(comeBackFor); err != nil && r.Reference != "" && time.Now().Before(giveUpAt); {
		time.Sleep(comeBackPause)
		before := len(r.Texts)
		r.Failure = ""
		err = r.Resume(ctx, s.http, s.entry(random).Addr)
		resumes++
		if len(r.Texts) > before {
			giveUpAt = time.Now().Add(comeBackFor)
		}
		if r.Refused() {
			err = errorx.ExternalError.New("refused: %s", r.Failure)
		}
	}
	if r.Refused() {
		s.refused(r.Reason())
	}
	s.secrets.keep(r.RequestID, r.Reference, "")
	if problem := r.Check(); problem != nil {
		s.violation("stream %s: %v", r.RequestID, problem)
	}
	result := "completed"
	switch {
	case r.Done && len(r.Texts) != tokens:
		s.violation("stream %s: %d tokens came of %d", r.RequestID, len(r.Texts), tokens)
	case r.Done:
	case err != nil && r.Reference == "":
		result = "lost_before_reference"
	case err != nil:
		result = "reader_gave_up"
	case r.Refused():
		result = "refused"
	default:
		result = "failed_explicitly"
		if delivered, ok := r.Delivered(); !ok || delivered != len(r.Texts) {
			s.violation("stream %s: %d tokens came, the final event says %s", r.RequestID, len(r.Texts), r.Failure)
		}
	}
	s.count(func(f *SoakFigures) {
		f.Streams[result]++
		f.Resumes += resumes
		f.Tokens += len(r.Texts)
	})
}

// maxChargeAttempts bounds how often a caller asks for one charge.
const maxChargeAttempts = 6

// charge makes one charge under a ticket, asking again through other
// instances while the outcome is not known.
func (s *soak) charge(ctx context.Context, random *rand.Rand, name string) {
	body := "charge " + name
	var ticket string
	if random.IntN(4) > 0 {
		var err error
		if ticket, err = s.mint(ctx, random); err != nil {
			s.count(func(f *SoakFigures) { f.Charges["no_ticket"]++ })
			time.Sleep(comeBackPause)
			return
		}
	}
	s.secrets.keep("", "", ticket)
	var history chargeHistory
	result := "unknown"
	attempts := 0
	for attempts < maxChargeAttempts {
		attempts++
		answer := s.post(ctx, s.entry(random), "/v1/calls/"+PurchaseClass, body, ticket)
		if answer.status == http.StatusOK {
			if want := fmt.Sprintf("%s for %s: %s", PurchaseClass, Team, body); answer.body != want {
				s.violation("charge %s got the answer %q", name, answer.body)
			}
			history.succeeded, result = true, "completed"
			break
		}
		if answer.ticket != "" {
			ticket = answer.ticket
		}
		if answer.verdict == verdict.NotRun && random.IntN(2) == 0 {
			history.notRun, result = true, "not_run"
			break
		}
		if ticket == "" {
			break // Without a ticket, asking again would be another charge.
		}
		time.Sleep(comeBackPause)
	}
	s.count(func(f *SoakFigures) {
		f.Charges[result]++
		f.Attempts += attempts
		s.answered[PurchaseClass+" "+body] = history
	})
}

func (s *soak) mint(ctx context.Context, random *rand.Rand) (string, error) {
	answer := s.post(ctx, s.entry(random), "/v1/tickets", fmt.Sprintf(`{"class": %q}`, PurchaseClass), "")
	var wire struct {
		Ticket string `json:"ticket"`
	}
	if answer.status != http.StatusOK {
		return "", errorx.ExternalError.New("status %d", answer.status)
	}
	return wire.Ticket, json.Unmarshal([]byte(answer.body), &wire)
}

func (s *soak) readOnce(ctx context.Context, random *rand.Rand, name string) {
	answer := s.post(ctx, s.entry(random), "/v1/calls/"+ReadClass, "profile "+name, "")
	result := "failed"
	if answer.status == http.StatusOK {
		result = "completed"
		if want := fmt.Sprintf("%s for %s: profile %s", ReadClass, Team, name); answer.body != want {
			s.violation("read %s got the answer %q", name, answer.body)
		}
	}
	s.count(func(f *SoakFigures) { f.Reads[result]++ })
	time.Sleep(comeBackPause / 4)
}

// callAnswer is what a caller was told; status 0 is a lost connection.
type callAnswer struct {
	status  int
	body    string
	ticket  string
	verdict verdict.Verdict
}

// callLimit bounds one call.
const callLimit = 20 * time.Second

func (s *soak) post(ctx context.Context, p *Process, path, body, ticket string) callAnswer {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	request, err := newPost(ctx, p, path, body, ticket)
	if err != nil {
		return callAnswer{}
	}
	response, err := s.http.Do(request)
	if err != nil {
		return callAnswer{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return callAnswer{}
	}
	answer := callAnswer{status: response.StatusCode, body: string(content), ticket: response.Header.Get("Idempotency-Key")}
	var wire struct {
		Error struct {
			Verdict verdict.Verdict `json:"verdict"`
			Reason  string          `json:"reason"`
		} `json:"error"`
	}
	if response.StatusCode != http.StatusOK && json.Unmarshal(content, &wire) == nil {
		answer.verdict = wire.Error.Verdict
		s.refused(wire.Error.Reason)
	}
	return answer
}

// checkCharges compares what callers were told with what the services ran.
func (s *soak) checkCharges() error {
	ran, err := s.fleet.RunCounts()
	if err != nil {
		return err
	}
	for key, history := range s.answered {
		switch n := ran[key]; {
		case n > 1:
			s.violation("%s ran %d times", key, n)
		case history.succeeded && n != 1:
			s.violation("%s was answered as done and ran %d times", key, n)
		case history.notRun && n != 0:
			s.violation("%s was answered with not_run at last, and ran", key)
		}
	}
	return nil
}

// watchInterval is the time between two looks at the instances' versions.
const watchInterval = 100 * time.Millisecond

// watchVersions checks that no incarnation's configuration version falls.
func (s *soak) watchVersions(ctx context.Context) {
	highest := map[string]uint64{}
	for sleepUntil(ctx, time.Now().Add(watchInterval)) {
		for _, p := range s.fleet.Entries {
			look, cancel := context.WithTimeout(ctx, watchInterval)
			status, err := s.fleet.Status(look, p)
			cancel()
			if err != nil {
				continue
			}
			if status.ConfigVersion < highest[status.Incarnation] {
				s.violation("%s went from configuration %d back to %d", p.Name, highest[status.Incarnation], status.ConfigVersion)
			}
			if status.ConfigVersion > highest[status.Incarnation] {
				highest[status.Incarnation] = status.ConfigVersion
				s.count(func(f *SoakFigures) { f.Versions++ })
			}
		}
	}
}

// PrintSoak runs a soak and prints its figures as one line of JSON. Violations
// are an error.
func PrintSoak(ctx context.Context, plan SoakPlan, out io.Writer) error {
	figures, err := Soak(ctx, plan)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(figures); err != nil {
		return err
	}
	if len(figures.Violations) > 0 {
		return errorx.AssertionFailed.New("%d violations", len(figures.Violations))
	}
	return nil
}
