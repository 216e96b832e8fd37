package ticket_test

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/ident"
	"mangoloft/ticket"
)

var (
	oldKey = ticket.Key{ID: "old", Secret: bytes.Repeat([]byte{1}, ticket.MinSecretBytes)}
	newKey = ticket.Key{ID: "new", Secret: bytes.Repeat([]byte{2}, ticket.MinSecretBytes)}
	home   = ident.Home{Peer: netip.MustParseAddrPort("127.0.0.1:9001"), Incarnation: 5}
)

func newKeyring(t *testing.T, keys ...ticket.Key) *ticket.Keyring {
	t.Helper()
	k, err := ticket.NewKeyring(keys)
	assert.NilError(t, err)
	return k
}

// TestTicketRoundTripAcrossRotation checks that a ticket stays valid until the key
// that signed it is removed from the keyring.
func TestTicketRoundTripAcrossRotation(t *testing.T) {
	want := ticket.Ticket{Home: home, DataCentre: "dc1", Sequence: 3, Team: "reef", Class: "top_up", Expires: time.Unix(1000, 0)}
	text := newKeyring(t, oldKey).SignTicket(want)
	got, err := newKeyring(t, newKey, oldKey).VerifyTicket(text)
	assert.NilError(t, err)
	assert.Equal(t, got, want)
	_, err = newKeyring(t, newKey).VerifyTicket(text)
	assert.ErrorContains(t, err, "unknown key")
}

func TestReferenceRoundTrip(t *testing.T) {
	want := ticket.Stream{
		Request: ident.Request{Home: home, Sequence: 1}, Generation: "g", Upstream: "engine-1",
		Addr: netip.MustParseAddrPort("127.0.0.1:5"), Team: "reef", Class: "draft",
	}
	k := newKeyring(t, oldKey)
	got, nextIndex, err := k.VerifyReference(k.NewReferenceSigner(want).Reference(41))
	assert.NilError(t, err)
	assert.Equal(t, nextIndex, 41)
	assert.Equal(t, got, want)
}

// TestAlteredTextIsRefused checks that a text with one altered character, without
// its dots or empty is refused, and that a reference is refused as a ticket.
func TestAlteredTextIsRefused(t *testing.T) {
	k := newKeyring(t, oldKey)
	signedTicket := k.SignTicket(ticket.Ticket{Home: home, Team: "reef", Class: "top_up", Expires: time.Unix(1000, 0)})
	signedReference := k.NewReferenceSigner(ticket.Stream{Request: ident.Request{Home: home}, Team: "reef"}).Reference(7)
	tests := map[string]struct {
		text   string
		verify func(string) error
	}{
		"ticket":    {signedTicket, func(s string) error { _, err := k.VerifyTicket(s); return err }},
		"reference": {signedReference, func(s string) error { _, _, err := k.VerifyReference(s); return err }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.NilError(t, test.verify(test.text))
			for i := range test.text {
				altered := test.text[:i] + string(test.text[i]^1) + test.text[i+1:]
				assert.Assert(t, test.verify(altered) != nil, "the text altered at %d must be refused: %s", i, altered)
			}
			assert.Assert(t, test.verify("") != nil)
			assert.Assert(t, test.verify(strings.ReplaceAll(test.text, ".", "")) != nil)
		})
	}
	_, err := k.VerifyTicket(signedReference)
	assert.Assert(t, err != nil, "a reference must not be accepted as a ticket")
}

func TestKeyringRefuses(t *testing.T) {
	tests := map[string][]ticket.Key{
		"no key":           nil,
		"a short secret":   {{ID: "a", Secret: []byte("short")}},
		"a duplicate id":   {oldKey, oldKey},
		"an id with a dot": {{ID: "a.b", Secret: oldKey.Secret}},
	}
	for name, keys := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ticket.NewKeyring(keys)
			assert.Assert(t, err != nil)
		})
	}
}
