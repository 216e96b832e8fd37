// Package account summarizes the logs of entry instances: it counts the
// requests that were served in time, and groups the others by the cause that
// follows from their log lines.
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

// Cause is the reason that a request was not served in time.
type Cause string

// The causes, and InTime for a request that was served in time.
const (
	InTime Cause = "in time"
	// Refused requests were not placed on an upstream; the refusal has a retry
	// time.
	Refused Cause = "refused"
	// WaitedForPlacement and WaitedAtEngine streams had a late first event. They
	// are distinguished by the longer wait: in the instance's queue, or on the
	// engine.
	WaitedForPlacement Cause = "first event late, waited for a place"
	WaitedAtEngine     Cause = "first event late, waited at its engine"
	// PausedInMove and Paused streams had a pause between two events above the
	// target, with and without a move to another engine.
	PausedInMove Cause = "paused in a move"
	Paused       Cause = "paused"
	// MoveFailed streams were interrupted because their engine left before they
	// were moved.
	MoveFailed Cause = "cut, its move failed"
	// Cut streams and calls were interrupted by their upstream without an
	// announcement.
	Cut Cause = "cut by its upstream"
	// UpstreamFailed requests got an error from the upstream.
	UpstreamFailed Cause = "failed by its upstream"
	// Unreachable requests had no reachable upstream.
	Unreachable Cause = "no upstream reached"
	// TimedOut requests were placed, but not completed in time.
	TimedOut Cause = "timed out"
	// Late calls got their response after the target.
	Late Cause = "answered late"
	// CallerDisconnected requests were cancelled by their caller.
	CallerDisconnected Cause = "given up by the caller"
	// InstanceStopped requests were still open at the end of the planned stop of their
	// instance.
	InstanceStopped Cause = "cut, its instance stopped"
	// Unfinished requests have no closing log line, because their instance exited
	// first.
	Unfinished Cause = "its instance ended"
)

// outputWeight is the weight of an output token in prompt tokens. Engines need
// about ten times as long to decode a token as to prefill one.
const outputWeight = 10

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// line contains the fields of a log line that this package uses.
type line struct {
	Event   event.ID `json:"event"`
	Request string   `json:"request"`
	Kind    string   `json:"kind"`
	Reason  string   `json:"reason"`
	// FromMember reports whether another instance sent the request. That one logs its end
	// for the caller.
	FromMember     bool   `json:"from_member"`
	Outcome        string `json:"outcome"`
	Status         int    `json:"status"`
	Events         int    `json:"events"`
	WaitedMS       int64  `json:"waited_ms"`
	MS             int64  `json:"ms"`
	FirstEventMS   int64  `json:"first_event_ms"`
	LongestPauseMS int64  `json:"longest_pause_ms"`
	TargetMS       int64  `json:"target_ms"`
	PauseTargetMS  int64  `json:"pause_target_ms"`
	PromptTokens   int64  `json:"prompt_tokens"`
	MaxTokens      int64  `json:"max_output_tokens"`
}

// request contains the log lines of one request.
type request struct {
	placed, closed *line
	// moveFailed reports whether the last move failed, moved whether any move
	// succeeded.
	moveFailed, moved bool
}

// Row counts the requests of one kind with the same cause.
type Row struct {
	Kind     string
	Cause    Cause
	Requests int
	// Share is the share of these requests in the total size of all requests of
	// the kind.
	Share float64
}

// Account is the summary of all requests.
type Account struct {
	// Rows are sorted by kind, and within a kind by descending share.
	Rows []Row
	// Skipped is the number of lines that are not log lines of an instance.
	Skipped int
}

// Read summarizes the log lines of all instances. Text before the JSON object of
// a line, such as the name of the instance, is ignored.
func Read(logs io.Reader) (Account, error) {
	requests := map[string]*request{}
	account := Account{}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if !parseLine(requests, scanner.Bytes()) {
			account.Skipped++
		}
	}
	if err := scanner.Err(); err != nil {
		return Account{}, errorx.Decorate(err, "read the log")
	}
	account.Rows = summarize(requests)
	return account, nil
}

// parseLine adds a line to its request. It returns false for a line that is
// not a log line.
func parseLine(requests map[string]*request, raw []byte) bool {
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
		if !l.FromMember {
			r.closed = l
		}
	}
	return true
}

func summarize(requests map[string]*request) []Row {
	type key struct {
		kind  string
		cause Cause
	}
	counts, weights, totals := map[key]int{}, map[key]float64{}, map[string]float64{}
	for _, r := range requests {
		if r.placed == nil && r.closed == nil || r.closed != nil && !isExpectedToSucceed(r.closed) {
			continue
		}
		k := key{r.kind(), r.cause()}
		counts[k]++
		weights[k] += r.weight()
		totals[k.kind] += r.weight()
	}
	rows := make([]Row, 0, len(counts))
	for k := range maps.Keys(counts) {
		rows = append(rows, Row{k.kind, k.cause, counts[k], weights[k] / totals[k.kind]})
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(strings.Compare(a.Kind, b.Kind), cmp.Compare(b.Share, a.Share), strings.Compare(string(a.Cause), string(b.Cause)))
	})
	return rows
}

// isExpectedToSucceed reports whether the request should have been served.
// Requests that the routing table doesn't allow are not counted.
func isExpectedToSucceed(closed *line) bool {
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

// weight returns the size of the request in prompt tokens.
func (r *request) weight() float64 {
	l := r.closed
	if l == nil {
		l = r.placed
	}
	return max(1, float64(l.PromptTokens+outputWeight*l.MaxTokens))
}

// cause returns the reason that the request was not served in time, or InTime.
func (r *request) cause() Cause {
	if r.closed == nil {
		return Unfinished
	}
	switch l := r.closed; l.Reason {
	case verdict.Completed.String():
		return r.completedCause()
	case verdict.CallerDisconnected.String():
		return CallerDisconnected
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
	case verdict.Stopping.String():
		if r.placed == nil {
			return Refused
		}
		return InstanceStopped
	default:
		if r.placed == nil {
			return Refused
		}
		return Cut
	}
}

// completedCause returns the cause of a request that was served completely.
func (r *request) completedCause() Cause {
	l := r.closed
	exceeds := func(ms, target int64) bool { return target > 0 && ms > target }
	switch {
	case l.Events == 0 && exceeds(l.MS, l.TargetMS):
		return Late
	case l.Events == 0:
		return InTime
	case exceeds(l.FirstEventMS, l.TargetMS):
		if r.placed != nil && 2*r.placed.WaitedMS > l.FirstEventMS {
			return WaitedForPlacement
		}
		return WaitedAtEngine
	case exceeds(l.LongestPauseMS, l.PauseTargetMS) && (r.moved || r.moveFailed):
		return PausedInMove
	case exceeds(l.LongestPauseMS, l.PauseTargetMS):
		return Paused
	}
	return InTime
}

// columnGap is the number of spaces between two columns of the table.
const columnGap = 2

// Print writes the account as a table.
func (a Account) Print(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(table, "KIND\tCAUSE\tREQUESTS\tSHARE BY SIZE")
	for _, row := range a.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f%%\n", row.Kind, row.Cause, row.Requests, 100*row.Share)
	}
	return table.Flush()
}
