package ticket_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/ticket"
)

// FuzzVerifyTicket checks that only texts signed with a key of the ring pass: signing
// an accepted ticket again gives the same bytes.
func FuzzVerifyTicket(f *testing.F) {
	k, err := ticket.NewKeyring([]ticket.Key{newKey, oldKey})
	assert.NilError(f, err)
	signed := k.SignTicket(ticket.Ticket{Home: home, DataCentre: "dc1", Sequence: 3, Attempt: 1, Team: "reef", Class: "top_up", Expires: time.Unix(1000, 0)})
	for _, seed := range []string{"", "mt1", "mt1...", "mt1.new.e30.", signed, signed + "A", signed[1:], "mt1.old." + signed[8:]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := k.VerifyTicket(text)
		if err != nil {
			assert.Equal(t, parsed, ticket.Ticket{})
			return
		}
		assert.Equal(t, k.SignTicket(parsed), text)
	})
}
