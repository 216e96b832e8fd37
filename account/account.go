// Package account tells from the log lines of entry instances what callers
// didn't get, and why: each request that wasn't served in time is put under the
// cause that the instances logged.
package account

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/joomcode/errorx"

	"mangoloft/event"
	"mangoloft/verdict"
)

// Cause is why a request wasn't served in time.
type Cause string

// The causes, and InTime for a request that lacked nothing.
const (
	InTime Cause = "in time"
	// Refused requests had no place, and were told when to come back.
	Refused Cause = "refused"
	// WaitedForPlace and WaitedThere are streams whose first event was late, for
	// the longer wait: at the instance, or at the engine that had it.
	WaitedForPlace Cause = "first event late, waited for a place"
	WaitedAtEngine Cause = "first event late, waited at its engine"
	// PausedInMove and HeldUp are streams that paused for too long.
	PausedInMove Cause = "paused in a move"
	Paused       Cause = "paused"
	// MoveFailed streams were cut by an engine that left before they had.
	MoveFailed Cause = "cut, its move failed"
	// Cut streams and calls were broken off by their upstream without notice.
	Cut Cause = "cut by its upstream"
	// UpstreamFailed requests got the upstream's own failure.
	UpstreamFailed Cause = "failed by its upstream"
	// Unreachable requests found no upstream that could be reached.
	Unreachable Cause = "no upstream reached"
	TimedOut    Cause = "timed out"
	// Late calls were answered after their target.
	Late Cause = "answered late"
	// CallerGone requests were given up by their caller.
	CallerGone Cause = "given up by the caller"
	// Unfinished requests have no closing line: their instance ended first.
	Unfinished Cause = "its instance ended"
)

// outputWeight is how many prompt tokens one token of output is worth: engines
// make a token in about ten times the time in which they read one.
const outputWeight = 10

// maxLineBytes bounds one log line.
const maxLineBytes = 1 << 20

// line is what is read of a log line.
type line struct {
	Event          event.ID `json:"event"`
	Request        string   `json:"request"`
	Kind           string   `json:"kind"`
	Reason         string   `json:"reason"`
	Outcome        string   `json:"outcome"`
	Status         int      `json:"status"`
	Events         int      `json:"events"`
	WaitedMS       int64    `json:"waited_ms"`
	MS             int64    `json:"ms"`
	FirstEventMS   int64    `json:"first_event_ms"`
	LongestPauseMS int64    `json:"longest_pause_ms"`
	TargetMS       int64    `json:"target_ms"`
	PauseTargetMS  int64    `json:"pause_target_ms"`
	PromptTokens   int64    `json:"prompt_tokens"`
	MaxTokens      int64    `json:"max_output_tokens"`
}

// request is what is known of one request.
type request struct {
	placed, closed *line
	// moveFailed says that its last move did not come about, moved that one did.
	moveFailed, moved bool
}

// Row is one row of an account: the requests of a kind that ended for a cause.
type Row struct {
	Kind     string
	Cause    Cause
	Requests int
	// Share is the part of the kind's work that they asked for, by size.
	Share float64
}

// Account is what became of all requests.
type Account struct {
	// Rows holds a kind's causes together, the largest share first.
	Rows []Row
	// Skipped counts lines that are no log lines of an instance.
	Skipped int
}

// Read makes an account of the lines of all instances. What stands before the
// JSON object of a line, such as the name of its instance, is passed over.
func Read(logs io.Reader) (Account, error) {
	requests := map[string]*request{}
	account := Account{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !note(requests, scanner.Bytes()) {
			account.Skipped++
		}
	}
	if err := scanner.Err(); err != nil {
		return Account{}, errorx.Decorate(err, "read the log")
	}
	account.Rows = sum(requests)
	return account, nil
}

// note takes one line. It reports false for one that is no log line.
func note(requests map[string]*request, raw []byte) bool {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return false
	}
	l := &line{}
	if err := json.Unmarshal(raw[start:], l); err != nil || l.Event == 0 {
		return false
	}
	if l.Request == "" {
		return true
	}
	r := requests[l.Request]
	if r == nil {
		r = &request{}
		requests[l.Request] = r
	}
	switch l.Event {
	case event.RequestPlaced:
		r.placed = l
	case event.RunMoved:
		r.moved = r.moved || l.Outcome == "moved"
		r.moveFailed = l.Outcome == "failed" || l.Outcome == "no destination"
	case event.RequestClosed:
		r.closed = l
	}
	return true
}

func sum(requests map[string]*request) []Row {
	type key struct {
		kind  string
		cause Cause
	}
	counts, weights, totals := map[key]int{}, map[key]float64{}, map[string]float64{}
	for _, r := range requests {
		if r.placed == nil && r.closed == nil || r.closed != nil && !isOwed(r.closed) {
			continue
		}
		k := key{r.kind(), r.cause()}
		counts[k]++
		weights[k] += r.weight()
		totals[k.kind] += r.weight()
	}
	lines := make([]Row, 0, len(counts))
	for k := range maps.Keys(counts) {
		lines = append(lines, Row{k.kind, k.cause, counts[k], weights[k] / totals[k.kind]})
	}
	slices.SortFunc(lines, func(a, b Row) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), cmp.Compare(b.Share, a.Share), strings.Compare(string(a.Cause), string(b.Cause)))
	})
	return lines
}

// isOwed reports whether the caller could expect an answer: one that the routing
// table doesn't allow gets none.
func isOwed(closed *line) bool {
	switch closed.Reason {
	case verdict.NotFound.String(), verdict.UnknownTeam.String(), verdict.BadRequest.String():
		return false
	}
	return true
}

func (r *request) kind() string {
	if r.closed != nil && r.closed.Kind != "" {
		return r.closed.Kind
	}
	if r.placed != nil && r.placed.Kind != "" {
		return r.placed.Kind
	}
	return "unknown"
}

func (r *request) weight() float64 {
	l := r.closed
	if l == nil {
		l = r.placed
	}
	return max(1, float64(l.PromptTokens+outputWeight*l.MaxTokens))
}

// cause finds why a request wasn't served in time.
func (r *request) cause() Cause {
	if r.closed == nil {
		return Unfinished
	}
	switch c := r.closed; c.Reason {
	case verdict.Completed.String():
		return r.delay()
	case verdict.CallerGone.String():
		return CallerGone
	case verdict.UpstreamFailed.String():
		return UpstreamFailed
	case verdict.UpstreamUnreachable.String(), verdict.NoUpstream.String():
		return Unreachable
	case verdict.WaitExpired.String():
		if r.placed == nil {
			return Refused
		}
		return TimedOut
	case verdict.UpstreamLost.String():
		if r.moveFailed {
			return MoveFailed
		}
		return Cut
	default:
		if r.placed == nil {
			return Refused
		}
		return Cut
	}
}

// delay judges a request that was served.
func (r *request) delay() Cause {
	c := r.closed
	over := func(ms, target int64) bool { return target > 0 && ms > target }
	switch {
	case c.Events == 0 && over(c.MS, c.TargetMS):
		return Late
	case c.Events == 0:
		return InTime
	case over(c.FirstEventMS, c.TargetMS):
		if r.placed != nil && 2*r.placed.WaitedMS > c.FirstEventMS {
			return WaitedForPlace
		}
		return WaitedAtEngine
	case over(c.LongestPauseMS, c.PauseTargetMS) && (r.moved || r.moveFailed):
		return PausedInMove
	case over(c.LongestPauseMS, c.PauseTargetMS):
		return Paused
	}
	return InTime
}

// columnGap is the space between two columns of the table.
const columnGap = 2

// Print writes the account as a table.
func (a Account) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "KIND\tCAUSE\tREQUESTS\tSHARE BY SIZE")
	for _, l := range a.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f%%\n", l.Kind, l.Cause, l.Requests, 100*l.Share)
	}
	return table.Flush()
}
