package peer

import (
	"errors"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	"mangoloft/ident"
	"mangoloft/member"
)

var (
	errRefused  = status.Error(codes.FailedPrecondition, "stopping")
	errNoAnswer = errors.New("no answer")
)

// TestSendToOne checks that at most one peer can have accepted the ledgers. Two
// holders would both run the same tickets.
func TestSendToOne(t *testing.T) {
	tests := map[string]struct {
		// unreachable names the candidates whose probe fails.
		unreachable string
		// replies holds the replies of candidates a to c. Those not in it accept.
		replies   map[string]error
		sentTo    string
		successor string
		isErr     bool
	}{
		"first accepts":                    {"", nil, "a", "a", false},
		"unreachable candidate is skipped": {"a", nil, "b", "b", false},
		"refusing candidate is skipped":    {"", map[string]error{"a": errRefused}, "ab", "b", false},
		"stops after an unknown outcome":   {"", map[string]error{"a": errNoAnswer}, "a", "a", true},
		"refused, then unknown outcome":    {"", map[string]error{"a": errRefused, "b": errNoAnswer}, "ab", "b", true},
		"all unreachable":                  {"abc", nil, "", "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var candidates []member.Peer
			for _, name := range []string{"a", "b", "c"} {
				candidates = append(candidates, member.Peer{Heartbeat: member.Heartbeat{Name: name}})
			}
			sentTo := ""
			successor, err := sendToOne(candidates, func(p member.Peer) (ident.Incarnation, bool) {
				for _, unreachable := range test.unreachable {
					if string(unreachable) == p.Name {
						return 0, false
					}
				}
				return 7, true
			}, func(p member.Peer, i ident.Incarnation) error {
				assert.Equal(t, i, ident.Incarnation(7))
				sentTo += p.Name
				return test.replies[p.Name]
			})
			assert.Equal(t, sentTo, test.sentTo)
			assert.Equal(t, successor, test.successor)
			assert.Equal(t, err != nil, test.isErr)
		})
	}
}

// TestSendUntilConfirmed checks that a refusal after an attempt without a reply
// is not reported as a refusal, because the receiver may have accepted that
// attempt.
func TestSendUntilConfirmed(t *testing.T) {
	tests := map[string]struct {
		replies []error
		sent    int
		code    codes.Code
	}{
		"accepted":                 {[]error{nil}, 1, codes.OK},
		"refused":                  {[]error{errRefused}, 1, codes.FailedPrecondition},
		"accepted after no answer": {[]error{errNoAnswer, nil}, 2, codes.OK},
		"never answered":           {[]error{errNoAnswer, errNoAnswer}, 2, codes.Unknown},
		"refused after no answer":  {[]error{errNoAnswer, errRefused}, 2, codes.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := 0
			err := sendUntilConfirmed(func() error { sent++; return test.replies[sent-1] })
			assert.Equal(t, status.Code(err), test.code)
			assert.Equal(t, sent, test.sent)
		})
	}
}
