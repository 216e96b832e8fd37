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

// Reply is the response to one request of a caller.
type Reply struct {
	RequestID string
	Status    int
	Body      string
	// Ticket is the ticket with which to retry.
	Ticket string
	// Verdict reports whether the call ran: "not_run", "may_have_run" or "ran". It
	// is empty for a successful call and for an incomplete response.
	Verdict, Reason string
	Message         string
	RetryAfter      string
	// Elapsed is the time from the request to the end of the response.
	Elapsed time.Duration
	// Err is the error that prevented a complete response.
	Err error
}

// Completed reports whether the call succeeded and its whole response arrived.
func (r Reply) Completed() bool { return r.Status == http.StatusOK }

// callerTimeout is the timeout of one request of a caller.
const callerTimeout = 30 * time.Second

// Caller makes calls with the credential of one team. It is safe for concurrent
// use.
type Caller struct {
	Credential string
	client     http.Client
}

// NewCaller returns a caller with the credential. Each call opens a new
// connection, because http.Transport may silently resend a request whose reused
// connection has failed.
func NewCaller(credential string) *Caller {
	return &Caller{credential, http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Call makes one call of the class, with the ticket unless it is empty.
func (c *Caller) Call(ctx context.Context, p *Process, class, body, ticket string) Reply {
	return c.Post(ctx, p, "/v1/calls/"+class, body, ticket)
}

// Mint requests a new ticket.
func (c *Caller) Mint(ctx context.Context, p *Process, class string) (string, error) {
	reply := c.Post(ctx, p, "/v1/tickets", fmt.Sprintf(`{"class": %q}`, class), "")
	var wire struct {
		Ticket string `json:"ticket"`
	}
	if json.Unmarshal([]byte(reply.Body), &wire) != nil || wire.Ticket == "" {
		return "", errorx.ExternalError.New("the reply has no ticket: %+v", reply)
	}
	return wire.Ticket, nil
}

// Post sends a POST request to the path, with the ticket unless it is empty.
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

// Do sends the request with the caller's credential and reads the response.
func (c *Caller) Do(request *http.Request) Reply {
	start := time.Now()
	request.Header.Set("Authorization", "Bearer "+c.Credential)
	response, err := c.client.Do(request)
	if err != nil {
		return Reply{Elapsed: time.Since(start), Err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{Elapsed: time.Since(start), Err: err}
	}
	reply := Reply{
		RequestID: response.Header.Get("X-Request-Id"), Status: response.StatusCode, Body: string(content),
		Ticket: response.Header.Get("Idempotency-Key"), RetryAfter: response.Header.Get("Retry-After"), Elapsed: time.Since(start),
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

// Runs returns all calls that the fleet's services have run.
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

// SetFault applies the fault to all calls of all services. An empty fault
// restores normal operation.
func (f *Fleet) SetFault(ctx context.Context, fault standin.ServiceFault) error {
	for _, service := range f.Services {
		if err := f.put(ctx, service.DirectAddr, "/fault", []byte(fault)); err != nil {
			return err
		}
	}
	return nil
}

// ChargeHistory records the requests for charges and their replies. A charge is
// a call that must run at most once. It is identified by its request body, which
// is the same in all requests and with all tickets.
type ChargeHistory struct {
	mu        sync.Mutex
	startedAt time.Time
	ops       []porcupine.Operation
	replies   []chargeReply
}

// chargeReply is a reply and the charge that it belongs to.
type chargeReply struct {
	charge string
	// instance is the name of the instance that the request was sent to.
	instance string
	// receivedAt is the time since the start of the history.
	receivedAt time.Duration
	reply      Reply
}

// NewChargeHistory returns an empty history.
func NewChargeHistory() *ChargeHistory { return &ChargeHistory{startedAt: time.Now()} }

// chargeInput is one operation of the history: a request for a charge, or, if
// readRuns is true, a read of the runs that the services recorded.
type chargeInput struct {
	charge string
	// attempt is the number of the charge's tickets that were closed before the
	// ticket of this request.
	attempt  int
	readRuns bool
}

// chargeOutput is the result of a chargeInput.
type chargeOutput struct {
	// result is the result of a request.
	result chargeResult
	// answer is the body of the reply, or the answers that the services recorded.
	answer string
	// runs is the number of runs that the services recorded.
	runs int
}

type chargeResult uint8

const (
	// outcomeUnknown means that the charge may have run, or may still run.
	outcomeUnknown chargeResult = iota
	// answered means that the whole answer arrived.
	answered
	// alreadyRan means that the charge ran, but the reply lacks its answer.
	alreadyRan
	// ticketClosed means that the charge did not run with the ticket and never will.
	ticketClosed
	// requestRefused means that this request had no effect. The ticket stays open.
	requestRefused
)

// Call makes one request for the charge and records it. The attempt is the number
// of the charge's tickets that were closed before this one.
func (h *ChargeHistory) Call(ctx context.Context, c *Caller, p *Process, charge, ticket string, attempt int) Reply {
	start := time.Since(h.startedAt)
	reply := c.Call(ctx, p, PurchaseClass, charge, ticket)
	op := porcupine.Operation{
		Input: chargeInput{charge: charge, attempt: attempt}, Call: int64(start), Return: int64(time.Since(h.startedAt)),
	}
	output := chargeOutput{result: outcomeUnknown}
	switch {
	case reply.Completed():
		output = chargeOutput{result: answered, answer: reply.Body}
	case reply.Verdict == "ran":
		output.result = alreadyRan
	case reply.Verdict == "not_run" && reply.Ticket != "" && reply.Ticket != ticket:
		output.result = ticketClosed
	case reply.Verdict == "not_run":
		output.result = requestRefused
	default:
		op.Return = math.MaxInt64
	}
	op.Output = output
	h.mu.Lock()
	defer h.mu.Unlock()
	op.ClientId = len(h.ops)
	h.ops = append(h.ops, op)
	h.replies = append(h.replies, chargeReply{charge, p.Name, time.Since(h.startedAt), reply})
	return reply
}

// DescribeReplies describes the last n replies, one per line. Consecutive requests
// that differ only in their instance and time count as one reply.
func (h *ChargeHistory) DescribeReplies(n int) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lines []string
	previous, repeated := "", 0
	for _, r := range h.replies {
		line := fmt.Sprintf("%s: status %d, verdict %q, reason %q, message %q, ticket %q, error %v",
			r.charge, r.reply.Status, r.reply.Verdict, r.reply.Reason, r.reply.Message, r.reply.Ticket, r.reply.Err)
		suffix := fmt.Sprintf(" (%s at %s, after %s)", r.instance, r.receivedAt.Round(time.Millisecond), r.reply.Elapsed.Round(time.Millisecond))
		if line == previous {
			repeated++
			lines[len(lines)-1] = fmt.Sprintf("%s, repeated %d times, last%s", line, repeated, suffix)
			continue
		}
		previous, repeated = line, 0
		lines = append(lines, line+suffix)
	}
	return strings.Join(lines[max(0, len(lines)-n):], "\n")
}

// Check returns an error if the history contradicts the runs that the services
// recorded. All requests must have ended.
func (h *ChargeHistory) Check(runs []standin.Run) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	byCharge, byRequest := map[string][]string{}, map[string]bool{}
	for _, run := range runs {
		byCharge[run.Body] = append(byCharge[run.Body], run.Answer)
		byRequest[run.RequestID] = true
	}
	checked := map[string]bool{}
	ops := h.ops
	now := int64(time.Since(h.startedAt))
	for _, recorded := range h.replies {
		if recorded.reply.Verdict == "not_run" && byRequest[recorded.reply.RequestID] {
			return errorx.AssertionFailed.New("request %s of %s got the verdict not_run but ran", recorded.reply.RequestID, recorded.charge)
		}
		if recorded.reply.Completed() && !slices.Contains(byCharge[recorded.charge], recorded.reply.Body) {
			return errorx.AssertionFailed.New("%s got the answer %q, which no service gave", recorded.charge, recorded.reply.Body)
		}
		if checked[recorded.charge] {
			continue
		}
		checked[recorded.charge] = true
		answers := byCharge[recorded.charge]
		ops = append(ops, porcupine.Operation{
			ClientId: len(ops), Input: chargeInput{charge: recorded.charge, readRuns: true}, Call: now, Return: now + 1,
			Output: chargeOutput{runs: len(answers), answer: strings.Join(answers, "; ")},
		})
	}
	model := chargeModel.ToModel()
	for _, part := range model.Partition(ops) {
		if result := porcupine.CheckOperationsTimeout(model, part, checkTimeout); result != porcupine.Ok {
			return errorx.AssertionFailed.New("the linearizability check of a charge's history returned %s: %s", result, describeHistory(model, part))
		}
	}
	return nil
}

// checkTimeout is the timeout of the linearizability check of one charge.
const checkTimeout = 30 * time.Second

// chargeState is the state of a charge in the model. A charge runs at most once,
// whatever the number of its tickets.
type chargeState struct {
	// attempt is the number of the open ticket, with which the charge can run.
	attempt int
	ran     bool
	// ranAttempt is the number of the ticket with which the charge ran.
	ranAttempt int
	// answer is the answer of the run. It is empty until a reply contains it.
	answer string
}

// chargeModel models a charge as a register that is written at most once.
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

// stepCharge returns the possible next states, or none if the output is
// impossible in the state.
func stepCharge(s chargeState, in chargeInput, out chargeOutput) []any {
	if in.readRuns {
		if out.runs > 1 || (out.runs == 1) != s.ran || s.answer != "" && s.answer != out.answer {
			return nil
		}
		return []any{s}
	}
	canRun := !s.ran && s.attempt == in.attempt
	afterRun := chargeState{attempt: s.attempt, ran: true, ranAttempt: in.attempt, answer: out.answer}
	switch out.result {
	case answered:
		if s.ran && (s.answer == "" || s.answer == out.answer) {
			return []any{chargeState{s.attempt, true, s.ranAttempt, out.answer}}
		}
		if canRun {
			return []any{afterRun}
		}
	case alreadyRan:
		if s.ran {
			return []any{s}
		}
		if canRun {
			return []any{afterRun}
		}
	case ticketClosed:
		if s.ran && s.ranAttempt <= in.attempt {
			return nil
		}
		s.attempt = max(s.attempt, in.attempt+1)
		return []any{s}
	case requestRefused:
		return []any{s}
	case outcomeUnknown:
		states := []any{s}
		if canRun {
			states = append(states, afterRun, chargeState{attempt: in.attempt + 1})
		}
		return states
	}
	return nil
}

func describeHistory(model porcupine.Model, part []porcupine.Operation) string {
	var text strings.Builder
	for _, op := range part {
		fmt.Fprintf(&text, "\n[%d, %d] %s", op.Call, op.Return, model.DescribeOperation(op.Input, op.Output))
	}
	return text.String()
}
