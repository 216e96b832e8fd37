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

// SoakPlan sets the length and load of a soak, which runs a fleet under load and
// random faults.
type SoakPlan struct {
	Bin    string
	Seed   uint64
	Length time.Duration
	// Streams, Charges and Reads are the numbers of concurrent callers that make
	// requests of each kind.
	Streams, Charges, Reads int
}

// SoakResults are the printed results of a soak.
type SoakResults struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// Streams, Charges and Reads are the numbers of streams, charges and reads by
	// outcome.
	Streams map[string]int `json:"streams"`
	// Resumes counts the attempts to resume a stream.
	Resumes int `json:"resumes"`
	// Refusals counts the error responses by reason.
	Refusals map[string]int `json:"refusals"`
	// CrossTeamAttempts counts the rounds of attempts by another team to access a
	// team's requests.
	CrossTeamAttempts int            `json:"prying"`
	Tokens            int            `json:"tokens"`
	Charges           map[string]int `json:"charges"`
	// Attempts counts the requests for charges.
	Attempts int            `json:"charge_attempts"`
	Reads    map[string]int `json:"reads"`
	// Versions counts the configuration versions observed, once for each incarnation.
	Versions int            `json:"config_versions_seen"`
	Faults   map[string]int `json:"faults"`
	// FaultErrors are the errors from injecting or reverting faults.
	FaultErrors []string `json:"fault_errors"`
	Violations  []string `json:"violations"`
}

// soak is a running soak.
type soak struct {
	plan  SoakPlan
	fleet *Fleet
	http  *http.Client

	mu      sync.Mutex
	results SoakResults
	// teamSecrets are secrets of the first team. The second team tries to use them.
	teamSecrets teamSecrets
	// outcomes contains the outcome of each charge by its class and body.
	outcomes map[string]chargeOutcome
}

// chargeOutcome is the outcome of a charge according to the replies.
type chargeOutcome struct {
	succeeded bool
	// notRun means that the last reply had the verdict not_run. The verdict applies
	// to the ticket and therefore also to all earlier requests.
	notRun bool
}

// callerIdleTimeout is the time without data after which a caller closes its
// connection.
const callerIdleTimeout = 5 * time.Second

// Soak runs load and faults against a fleet for the length in the plan, checks
// every guarantee, and returns the results. Violations are part of the results
// and are not returned as an error.
func Soak(ctx context.Context, plan SoakPlan) (SoakResults, error) {
	dir, err := os.MkdirTemp("", "mangoloft-soak-")
	if err != nil {
		return SoakResults{}, err
	}
	fleet, err := Start(ctx, Plan{
		Bin: plan.Bin, Dir: dir, DataCentres: 2, Entries: 3, Engines: 2, Services: 1, Step: 5 * time.Millisecond, Proxies: true,
	})
	defer fleet.Close()
	if err != nil {
		return SoakResults{}, err
	}
	s := &soak{plan: plan, fleet: fleet, http: newIdleTimeoutClient(callerIdleTimeout), outcomes: map[string]chargeOutcome{}}
	s.results = SoakResults{
		Seed: plan.Seed, Streams: map[string]int{}, Charges: map[string]int{}, Reads: map[string]int{}, Refusals: map[string]int{},
		FaultErrors: []string{}, Violations: []string{},
	}
	if err := s.publishOtherTeam(ctx); err != nil {
		return s.results, err
	}
	start := time.Now()
	s.run(ctx, start)
	if err := s.checkCharges(); err != nil {
		return s.results, err
	}
	s.results.Seconds = time.Since(start).Seconds()
	if len(s.results.Violations) == 0 {
		return s.results, os.RemoveAll(dir)
	}
	s.results.Violations = append(s.results.Violations, "logs and audit trails are kept in "+dir)
	return s.results, nil
}

// newIdleTimeoutClient returns a client whose connections fail after idleTimeout
// without data.
func newIdleTimeoutClient(idleTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &idleTimeoutConn{conn, idleTimeout}, nil
		},
		MaxIdleConnsPerHost: 16,
	}}
}

func (s *soak) run(ctx context.Context, start time.Time) {
	// Callers start no new requests in the second half of the final period without
	// faults.
	lastStart := start.Add(s.plan.Length - faultFreeEnd/2)
	faults := &injector{fleet: s.fleet, start: start, busy: map[*Process]bool{}, counts: map[string]int{}}
	var callers, background sync.WaitGroup
	background.Go(func() { faults.run(ctx, Schedule(s.plan.Seed, s.plan.Length)) })
	watching, stopWatching := context.WithCancel(ctx)
	background.Go(func() { s.watchVersions(watching) })
	loops := []struct {
		count int
		call  func(context.Context, *rand.Rand, string)
	}{{s.plan.Streams, s.stream}, {s.plan.Charges, s.charge}, {s.plan.Reads, s.read}, {1, s.accessOtherTeam}}
	for kind, loop := range loops {
		for n := range loop.count {
			callers.Go(func() {
				random := rand.New(rand.NewPCG(s.plan.Seed, uint64(100*kind+n+2)))
				for i := 0; time.Now().Before(lastStart) && ctx.Err() == nil; i++ {
					loop.call(ctx, random, fmt.Sprintf("%d-%d-%d", kind, n, i))
				}
			})
		}
	}
	callers.Wait()
	stopWatching()
	background.Wait()
	s.results.Faults, s.results.FaultErrors = faults.counts, append(s.results.FaultErrors, faults.errs...)
}

func (s *soak) update(change func(totals *SoakResults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.results)
}

func (s *soak) countRefusal(reason string) {
	s.update(func(totals *SoakResults) { totals.Refusals[reason]++ })
}

func (s *soak) addViolation(format string, args ...any) {
	s.update(func(totals *SoakResults) {
		totals.Violations = append(totals.Violations, fmt.Sprintf(format, args...))
	})
}

func (s *soak) randomEntry(random *rand.Rand) *Process {
	return s.fleet.Entries[random.IntN(len(s.fleet.Entries))]
}

const (
	// resumeTimeout is the time without a new token after which a caller no longer
	// tries to resume a stream.
	resumeTimeout = 20 * time.Second
	// retryDelay is the time between two attempts.
	retryDelay    = 200 * time.Millisecond
	maxSoakTokens = 400
	streamTimeout = 60 * time.Second
)

// stream reads one stream to its end. After each connection failure it resumes the
// stream on a random instance.
func (s *soak) stream(ctx context.Context, random *rand.Rand, name string) {
	ctx, cancel := context.WithTimeout(ctx, streamTimeout)
	defer cancel()
	tokens := 1 + random.IntN(maxSoakTokens)
	r := &Reader{Credential: Credential}
	prompt := fmt.Sprintf("draft %s output_tokens=%d", name, tokens)
	err := r.Begin(ctx, s.http, s.randomEntry(random).Addr, DraftClass, prompt)
	resumes := 0
	for deadline := time.Now().Add(resumeTimeout); err != nil && r.Reference != "" && time.Now().Before(deadline); {
		time.Sleep(retryDelay)
		tokensBefore := len(r.Texts)
		r.Failure = ""
		err = r.Resume(ctx, s.http, s.randomEntry(random).Addr)
		resumes++
		if len(r.Texts) > tokensBefore {
			deadline = time.Now().Add(resumeTimeout)
		}
		if r.Refused() {
			err = errorx.ExternalError.New("refused: %s", r.Failure)
		}
	}
	if r.Refused() {
		s.countRefusal(r.Reason())
	}
	s.teamSecrets.add(r.RequestID, r.Reference, "")
	if problem := r.Check(); problem != nil {
		s.addViolation("stream %s: %v", r.RequestID, problem)
	}
	result := "completed"
	switch {
	case r.Done && len(r.Texts) != tokens:
		s.addViolation("stream %s: got %d tokens, want %d", r.RequestID, len(r.Texts), tokens)
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
			s.addViolation("stream %s: got %d tokens, but the error event is %s", r.RequestID, len(r.Texts), r.Failure)
		}
	}
	s.update(func(totals *SoakResults) {
		totals.Streams[result]++
		totals.Resumes += resumes
		totals.Tokens += len(r.Texts)
	})
}

// maxChargeAttempts is the maximum number of requests for one charge.
const maxChargeAttempts = 6

// charge makes one charge, in three of four cases with a ticket. While the outcome
// is unknown, it retries on random instances. After the verdict not_run it stops
// in half of the cases.
func (s *soak) charge(ctx context.Context, random *rand.Rand, name string) {
	body := "charge " + name
	var ticket string
	if random.IntN(4) > 0 {
		var err error
		if ticket, err = s.mint(ctx, random); err != nil {
			s.update(func(totals *SoakResults) { totals.Charges["no_ticket"]++ })
			time.Sleep(retryDelay)
			return
		}
	}
	s.teamSecrets.add("", "", ticket)
	var outcome chargeOutcome
	result := "unknown"
	attempts := 0
	for attempts < maxChargeAttempts {
		attempts++
		reply := s.post(ctx, s.randomEntry(random), "/v1/calls/"+PurchaseClass, body, ticket)
		if reply.status == http.StatusOK {
			if want := fmt.Sprintf("%s for %s: %s", PurchaseClass, Team, body); reply.body != want {
				s.addViolation("charge %s got the answer %q", name, reply.body)
			}
			outcome.succeeded, result = true, "completed"
			break
		}
		if reply.ticket != "" {
			ticket = reply.ticket
		}
		if reply.verdict == verdict.NotRun && random.IntN(2) == 0 {
			outcome.notRun, result = true, "not_run"
			break
		}
		if ticket == "" {
			break // Without a ticket, a retry would be a second charge.
		}
		time.Sleep(retryDelay)
	}
	s.update(func(totals *SoakResults) {
		totals.Charges[result]++
		totals.Attempts += attempts
		s.outcomes[PurchaseClass+" "+body] = outcome
	})
}

func (s *soak) mint(ctx context.Context, random *rand.Rand) (string, error) {
	reply := s.post(ctx, s.randomEntry(random), "/v1/tickets", fmt.Sprintf(`{"class": %q}`, PurchaseClass), "")
	var wire struct {
		Ticket string `json:"ticket"`
	}
	if reply.status != http.StatusOK {
		return "", errorx.ExternalError.New("status %d", reply.status)
	}
	return wire.Ticket, json.Unmarshal([]byte(reply.body), &wire)
}

func (s *soak) read(ctx context.Context, random *rand.Rand, name string) {
	reply := s.post(ctx, s.randomEntry(random), "/v1/calls/"+ReadClass, "profile "+name, "")
	result := "failed"
	if reply.status == http.StatusOK {
		result = "completed"
		if want := fmt.Sprintf("%s for %s: profile %s", ReadClass, Team, name); reply.body != want {
			s.addViolation("read %s got the answer %q", name, reply.body)
		}
	}
	s.update(func(totals *SoakResults) { totals.Reads[result]++ })
	time.Sleep(retryDelay / 4)
}

// callReply is the reply to one call. Status 0 means that the connection failed.
type callReply struct {
	status  int
	body    string
	ticket  string
	verdict verdict.Verdict
}

// callTimeout is the timeout of one call.
const callTimeout = 20 * time.Second

func (s *soak) post(ctx context.Context, p *Process, path, body, ticket string) callReply {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := newPost(ctx, p, path, body, ticket)
	if err != nil {
		return callReply{}
	}
	response, err := s.http.Do(request)
	if err != nil {
		return callReply{}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return callReply{}
	}
	reply := callReply{status: response.StatusCode, body: string(content), ticket: response.Header.Get("Idempotency-Key")}
	var wire struct {
		Error struct {
			Verdict verdict.Verdict `json:"verdict"`
			Reason  string          `json:"reason"`
		} `json:"error"`
	}
	if response.StatusCode != http.StatusOK && json.Unmarshal(content, &wire) == nil {
		reply.verdict = wire.Error.Verdict
		s.countRefusal(wire.Error.Reason)
	}
	return reply
}

// checkCharges compares the outcomes of the charges with the runs that the
// services recorded.
func (s *soak) checkCharges() error {
	ran, err := s.fleet.RunCounts()
	if err != nil {
		return err
	}
	for key, outcome := range s.outcomes {
		switch n := ran[key]; {
		case n > 1:
			s.addViolation("%s ran %d times", key, n)
		case outcome.succeeded && n != 1:
			s.addViolation("%s completed but ran %d times", key, n)
		case outcome.notRun && n != 0:
			s.addViolation("%s got not_run in the last reply but ran", key)
		}
	}
	return nil
}

// versionPollInterval is the time between two reads of the instances'
// configuration versions.
const versionPollInterval = 100 * time.Millisecond

// watchVersions checks that the configuration version of an incarnation never
// decreases.
func (s *soak) watchVersions(ctx context.Context) {
	highest := map[string]uint64{}
	for sleepUntil(ctx, time.Now().Add(versionPollInterval)) {
		for _, p := range s.fleet.Entries {
			pollCtx, cancel := context.WithTimeout(ctx, versionPollInterval)
			status, err := s.fleet.Status(pollCtx, p)
			cancel()
			if err != nil {
				continue
			}
			if status.ConfigVersion < highest[status.Incarnation] {
				s.addViolation("%s went from configuration %d back to %d", p.Name, highest[status.Incarnation], status.ConfigVersion)
			}
			if status.ConfigVersion > highest[status.Incarnation] {
				highest[status.Incarnation] = status.ConfigVersion
				s.update(func(totals *SoakResults) { totals.Versions++ })
			}
		}
	}
}

// PrintSoak runs a soak and prints its results as one line of JSON. It returns an
// error if there were violations.
func PrintSoak(ctx context.Context, plan SoakPlan, out io.Writer) error {
	results, err := Soak(ctx, plan)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(results); err != nil {
		return err
	}
	if len(results.Violations) > 0 {
		return errorx.AssertionFailed.New("%d violations", len(results.Violations))
	}
	return nil
}
