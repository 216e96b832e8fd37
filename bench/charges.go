package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/joomcode/errorx"

	"mangoloft/standin"
)

// Reply is what a caller got for one request. A connection that was lost
// without a whole answer leaves the verdict empty.
type Reply struct {
	RequestID string
	Status    int
	Body      string
	// Ticket is the one to go on with.
	Ticket          string
	Verdict, Reason string
	Message         string
	RetryAfter      string
	Took            time.Duration
	// Err is why no whole answer came.
	Err error
}

// Completed reports whether the call's whole answer came.
func (r Reply) Completed() bool { return r.Status == http.StatusOK }

// callerLimit is how long a caller waits for an answer.
const callerLimit = 30 * time.Second

// Caller makes calls of one team. It may be used by several goroutines.
type Caller struct {
	Credential string
	client     http.Client
}

// NewCaller returns a caller with the credential. Each call has a connection of
// its own, so that a call that was lost is not sent again behind its back.
func NewCaller(credential string) *Caller {
	return &Caller{credential, http.Client{Timeout: callerLimit, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Call makes one request. A ticket, where there is one, goes with it.
func (c *Caller) Call(ctx context.Context, p *Process, class, body, ticket string) Reply {
	return c.Post(ctx, p, "/v1/calls/"+class, body, ticket)
}

// Mint asks for a ticket.
func (c *Caller) Mint(ctx context.Context, p *Process, class string) (string, error) {
	reply := c.Post(ctx, p, "/v1/tickets", fmt.Sprintf(`{"class": %q}`, class), "")
	var wire struct {
		Ticket string `json:"ticket"`
	}
	if json.Unmarshal([]byte(reply.Body), &wire) != nil || wire.Ticket == "" {
		return "", errorx.ExternalError.New("no ticket: %+v", reply)
	}
	return wire.Ticket, nil
}

// Post makes one request to any path.
func (c *Caller) Post(ctx context.Context, p *Process, path, body, ticket string) Reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Addr.String()+path, strings.NewReader(body))
	if err != nil {
		return Reply{}
	}
	request.GetBody = nil
	if ticket != "" {
		request.Header.Set("Idempotency-Key", ticket)
	}
	return c.Do(request)
}

// Do makes one request.
func (c *Caller) Do(request *http.Request) Reply {
	begun := time.Now()
	request.Header.Set("Authorization", "Bearer "+c.Credential)
	response, err := c.client.Do(request)
	if err != nil {
		return Reply{Took: time.Since(begun), Err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{Took: time.Since(begun), Err: err}
	}
	reply := Reply{
		RequestID: response.Header.Get("X-Request-Id"), Status: response.StatusCode, Body: string(content),
		Ticket: response.Header.Get("Idempotency-Key"), RetryAfter: response.Header.Get("Retry-After"), Took: time.Since(begun),
	}
	var failure struct {
		Error struct {
			Verdict, Reason, Message string
		} `json:"error"`
	}
	if json.Unmarshal(content, &failure) == nil {
		reply.Verdict, reply.Reason, reply.Message = failure.Error.Verdict, failure.Error.Reason, failure.Error.Message
	}
	return reply
}

// Runs returns all calls that the fleet's services ran.
func (f *Fleet) Runs(ctx context.Context) ([]standin.Run, error) {
	var all []standin.Run
	for _, service := range f.Services {
		content, err := f.Get(ctx, "http://"+service.DirectAddr.String()+"/runs")
		if err != nil {
			return nil, err
		}
		var runs []standin.Run
		if err := json.Unmarshal(content, &runs); err != nil {
			return nil, err
		}
		all = append(all, runs...)
	}
	return all, nil
}

// SetFault brings the fault on all calls of all services; an empty one ends it.
func (f *Fleet) SetFault(ctx context.Context, fault standin.ServiceFault) error {
	for _, service := range f.Services {
		if err := f.put(ctx, service.DirectAddr, "/fault", []byte(fault)); err != nil {
			return err
		}
	}
	return nil
}

// ChargeHistory records what callers of charges saw. A charge is named by its
// body, which it keeps over all requests and tickets.
type ChargeHistory struct {
	mu    sync.Mutex
	began time.Time
	ops   []porcupine.Operation
	seen  []chargeSeen
}

// chargeSeen is one reply with the charge that it was for.
type chargeSeen struct {
	charge string
	reply  Reply
}

// NewChargeHistory returns an empty history.
func NewChargeHistory() *ChargeHistory { return &ChargeHistory{began: time.Now()} }

// chargeInput is one request, or a look at what the services ran.
type chargeInput struct {
	charge  string
	attempt int
	look    bool
}

// chargeOutput is what came of it.
type chargeOutput struct {
	result chargeResult
	// answer is the whole answer, or what the services recorded.
	answer string
	runs   int
}

type chargeResult uint8

const (
	// unknown is a request that may have run, now or later.
	unknown chargeResult = iota
	// answered is a whole answer.
	answered
	// alreadyRan says that the charge ran.
	alreadyRan
	// closed says that the ticket did not run and can't run any more.
	closed
	// refusedOnce says that this request did nothing.
	refusedOnce
)

// Call makes one request of the charge and records it. Attempt counts the
// tickets that were closed before this one.
func (h *ChargeHistory) Call(ctx context.Context, c *Caller, p *Process, charge, ticket string, attempt int) Reply {
	begun := time.Since(h.began)
	reply := c.Call(ctx, p, PurchaseClass, charge, ticket)
	op := porcupine.Operation{
		Input: chargeInput{charge: charge, attempt: attempt}, Call: int64(begun), Return: int64(time.Since(h.began)),
	}
	output := chargeOutput{result: unknown}
	switch {
	case reply.Completed():
		output = chargeOutput{result: answered, answer: reply.Body}
	case reply.Verdict == "ran":
		output.result = alreadyRan
	case reply.Verdict == "not_run" && reply.Ticket != "" && reply.Ticket != ticket:
		output.result = closed
	case reply.Verdict == "not_run":
		output.result = refusedOnce
	default:
		op.Return = math.MaxInt64
	}
	op.Output = output
	h.mu.Lock()
	defer h.mu.Unlock()
	op.ClientId = len(h.ops)
	h.ops = append(h.ops, op)
	h.seen = append(h.seen, chargeSeen{charge, reply})
	return reply
}

// Check compares the history with what the services ran. Nothing may be under
// way any more.
func (h *ChargeHistory) Check(runs []standin.Run) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	byCharge, byRequest := map[string][]string{}, map[string]bool{}
	for _, run := range runs {
		byCharge[run.Body] = append(byCharge[run.Body], run.Answer)
		byRequest[run.RequestID] = true
	}
	looked := map[string]bool{}
	ops := h.ops
	now := int64(time.Since(h.began))
	for _, seen := range h.seen {
		if seen.reply.Verdict == "not_run" && byRequest[seen.reply.RequestID] {
			return errorx.AssertionFailed.New("request %s of %s was refused as not run, and ran", seen.reply.RequestID, seen.charge)
		}
		if seen.reply.Completed() && !slices.Contains(byCharge[seen.charge], seen.reply.Body) {
			return errorx.AssertionFailed.New("%s was answered %q", seen.charge, seen.reply.Body)
		}
		if looked[seen.charge] {
			continue
		}
		looked[seen.charge] = true
		answers := byCharge[seen.charge]
		ops = append(ops, porcupine.Operation{
			ClientId: len(ops), Input: chargeInput{charge: seen.charge, look: true}, Call: now, Return: now + 1,
			Output: chargeOutput{runs: len(answers), answer: strings.Join(answers, "; ")},
		})
	}
	model := chargeModel.ToModel()
	for _, part := range model.Partition(ops) {
		if result := porcupine.CheckOperationsTimeout(model, part, checkLimit); result != porcupine.Ok {
			return errorx.AssertionFailed.New("the history of a charge is %s: %s", result, describe(model, part))
		}
	}
	return nil
}

// checkLimit bounds the search through a history.
const checkLimit = 30 * time.Second

// chargeState is what is true of a charge. A charge runs once over all its
// tickets.
type chargeState struct {
	// attempt is the ticket that may run.
	attempt int
	ran     bool
	// ranAttempt is the ticket that ran.
	ranAttempt int
	// answer is what the run was answered with; empty while nobody has seen it.
	answer string
}

// chargeModel is a register that is written at most once.
var chargeModel = porcupine.NondeterministicModel{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := map[string][]porcupine.Operation{}
		for _, op := range history {
			charge := op.Input.(chargeInput).charge
			parts[charge] = append(parts[charge], op)
		}
		var all [][]porcupine.Operation
		for _, part := range parts {
			all = append(all, part)
		}
		return all
	},
	Init: func() []any { return []any{chargeState{}} },
	Step: func(state, input, output any) []any {
		return stepCharge(state.(chargeState), input.(chargeInput), output.(chargeOutput))
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// stepCharge returns the states that may follow; none when the output is
// impossible.
func stepCharge(s chargeState, in chargeInput, out chargeOutput) []any {
	if in.look {
		if out.runs > 1 || (out.runs == 1) != s.ran || s.answer != "" && s.answer != out.answer {
			return nil
		}
		return []any{s}
	}
	mayRun := !s.ran && s.attempt == in.attempt
	afterRun := chargeState{attempt: s.attempt, ran: true, ranAttempt: in.attempt, answer: out.answer}
	switch out.result {
	case answered:
		if s.ran && (s.answer == "" || s.answer == out.answer) {
			return []any{chargeState{s.attempt, true, s.ranAttempt, out.answer}}
		}
		if mayRun {
			return []any{afterRun}
		}
	case alreadyRan:
		if s.ran {
			return []any{s}
		}
		if mayRun {
			return []any{afterRun}
		}
	case closed:
		if s.ran && s.ranAttempt <= in.attempt {
			return nil
		}
		s.attempt = max(s.attempt, in.attempt+1)
		return []any{s}
	case refusedOnce:
		return []any{s}
	case unknown:
		next := []any{s}
		if mayRun {
			next = append(next, afterRun, chargeState{attempt: in.attempt + 1})
		}
		return next
	}
	return nil
}

func describe(model porcupine.Model, part []porcupine.Operation) string {
	var text strings.Builder
	for _, op := range part {
		fmt.Fprintf(&text, "\n[%d, %d] %s", op.Call, op.Return, model.DescribeOperation(op.Input, op.Output))
	}
	return text.String()
}
