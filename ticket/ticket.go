package ticket

import (
	"net/netip"
	"time"

	"mangoloft/ident"
)

const ticketPrefix = "mt1"

// Ticket is the leave to run one call at most once: it names the only
// incarnation of the only entry instance that may run it.
type Ticket struct {
	Home       ident.Home
	DataCentre string
	// Sequence is unique within the home's incarnation.
	Sequence uint64
	// Attempt rises when the ticket before was refused: that one is closed, so
	// that a copy of it still under way can't run.
	Attempt uint32
	Team    string
	Class   string
	// Expires is when the home forgets the ticket and refuses to run it.
	Expires time.Time
}

// ticketWire is a Ticket as callers carry it.
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

// SignTicket returns the ticket as text for an Idempotency-Key header.
// Expires is kept to the second.
func (k *Keyring) SignTicket(t Ticket) string {
	return k.sign(ticketPrefix, ticketWire{
		t.Home.Peer, t.Home.Incarnation, t.DataCentre, t.Sequence, t.Attempt, t.Team, t.Class, t.Expires.Unix(),
	})
}

// VerifyTicket reads what SignTicket wrote. Anything altered, or signed by a
// key that is not on the ring, is an error. Expiry is the home's to judge.
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
