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
	errRefused = status.Error(codes.FailedPrecondition, "stopping")
	errUnknown = errors.New("no answer")
)

// The ledgers may never come to two peers.
func TestGiveToOne(t *testing.T) {
	tests := map[string]struct {
		// absent peers don't take work; answers are those of a to c.
		absent  string
		answers map[string]error
		sentTo  string
		to      string
		isErr   bool
	}{
		"the first takes":                  {"", nil, "a", "a", false},
		"one that stops is passed over":    {"a", nil, "b", "b", false},
		"one that refuses is passed over":  {"", map[string]error{"a": errRefused}, "ab", "b", false},
		"nobody else after one is unknown": {"", map[string]error{"a": errUnknown}, "a", "a", true},
		"refused, then unknown":            {"", map[string]error{"a": errRefused, "b": errUnknown}, "ab", "b", true},
		"nobody takes":                     {"abc", nil, "", "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var candidates []member.Peer
			for _, name := range []string{"a", "b", "c"} {
				candidates = append(candidates, member.Peer{Heartbeat: member.Heartbeat{Name: name}})
			}
			sentTo := ""
			to, err := giveToOne(candidates, func(p member.Peer) (ident.Incarnation, bool) {
				for _, absent := range test.absent {
					if string(absent) == p.Name {
						return 0, false
					}
				}
				return 7, true
			}, func(p member.Peer, i ident.Incarnation) error {
				assert.Equal(t, i, ident.Incarnation(7))
				sentTo += p.Name
				return test.answers[p.Name]
			})
			assert.Equal(t, sentTo, test.sentTo)
			assert.Equal(t, to, test.to)
			assert.Equal(t, err != nil, test.isErr)
		})
	}
}

func TestSendUntilKnown(t *testing.T) {
	tests := map[string]struct {
		answers []error
		sent    int
		code    codes.Code
	}{
		"taken":                   {[]error{nil}, 1, codes.OK},
		"refused":                 {[]error{errRefused}, 1, codes.FailedPrecondition},
		"taken after a silence":   {[]error{errUnknown, nil}, 2, codes.OK},
		"silent":                  {[]error{errUnknown, errUnknown}, 2, codes.Unknown},
		"refused after a silence": {[]error{errUnknown, errRefused}, 2, codes.Unknown},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent := 0
			err := sendUntilKnown(func() error { sent++; return test.answers[sent-1] })
			assert.Equal(t, status.Code(err), test.code)
			assert.Equal(t, sent, test.sent)
		})
	}
}
