package ticket

import (
	"net/netip"
	"time"

	"mangoloft/ident"
)

const ticketPrefix = "mt1"

// Ticket permits one call to run at most once. Only its home, which is one
// incarnation of one entry instance, may run the call.
type Ticket struct {
	Home       ident.Home
	DataCentre string
	// Sequence is unique within the home's incarnation.
	Sequence uint64
	// Attempt is the number of earlier tickets with this sequence that were refused
	// and closed. A delayed copy of a closed ticket can't run.
	Attempt uint32
	Team    string
	Class   string
	// Expires is the time after which the home refuses to run the ticket.
	Expires time.Time
}

// ticketWire is the encoding of a Ticket in its signed text.
type ticketWire struct {
	Peer        netip.AddrPort    `json:"peer"`
	Incarnation ident.Incarnation `json:"incarnation"`
	DataCentre  string            `json:"data_centre"`
	Sequence    uint64            `json:"sequence"`
	Attempt     uint32            `json:"attempt"`
	Team        string            `json:"team"`
	Class       string            `json:"class"`
	ExpiresUnix int64             `json:"expires_unix"`
}

// SignTicket returns the ticket as signed text for an Idempotency-Key header.
// Expires is truncated to seconds.
func (k *Keyring) SignTicket(t Ticket) string {
	return k.sign(ticketPrefix, ticketWire{
		t.Home.Peer, t.Home.Incarnation, t.DataCentre, t.Sequence, t.Attempt, t.Team, t.Class, t.Expires.Unix(),
	})
}

// VerifyTicket decodes a text that SignTicket returned. It returns an error if the
// text was altered, or signed with a key that is not on the ring. It doesn't check
// the expiry; the home does.
func (k *Keyring) VerifyTicket(text string) (Ticket, error) {
	var wire ticketWire
	if err := k.verify(ticketPrefix, text, &wire); err != nil {
		return Ticket{}, err
	}
	return Ticket{
		ident.Home{Peer: wire.Peer, Incarnation: wire.Incarnation},
		wire.DataCentre, wire.Sequence, wire.Attempt, wire.Team, wire.Class, time.Unix(wire.ExpiresUnix, 0),
	}, nil
}
