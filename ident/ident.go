// Package ident defines the ids of processes and of the requests they serve.
package ident

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// Incarnation identifies one execution of an instance's process, from its start to
// its exit. After a restart the instance has a larger incarnation: the upper bits
// are the start time in milliseconds since 1970. The lower 20 bits are random, so
// that two starts in one millisecond differ.
type Incarnation uint64

const incarnationRandomBits = 20

// NewIncarnation returns the incarnation of a process that starts now.
func NewIncarnation(now time.Time) Incarnation {
	var random [4]byte
	rand.Read(random[:])
	low := uint64(binary.BigEndian.Uint32(random[:])) & (1<<incarnationRandomBits - 1)
	return Incarnation(uint64(now.UnixMilli())<<incarnationRandomBits | low)
}

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), 16) }

// MarshalText implements encoding.TextMarshaler. A JSON number would lose digits
// in programs that decode numbers as floating point.
func (i Incarnation) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (i *Incarnation) UnmarshalText(text []byte) (err error) {
	*i, err = ParseIncarnation(string(text))
	return err
}

// ParseIncarnation parses the result of Incarnation.String.
func ParseIncarnation(text string) (Incarnation, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errorx.IllegalFormat.New("malformed incarnation %q", text)
	}
	return Incarnation(n), nil
}

// Home is the incarnation of an entry instance that received a request or issued a
// ticket.
type Home struct {
	// Peer is the address at which the instance accepts connections of its peers.
	Peer        netip.AddrPort `json:"peer"`
	Incarnation Incarnation    `json:"incarnation"`
}

// Request identifies one request. It contains the request's home, which keeps its
// audit records, so that every instance can find them.
type Request struct {
	Home Home
	// Sequence is unique within the home.
	Sequence uint64
}

// requestPrefix begins the text of every request id.
const requestPrefix = "r-"

// String returns the encoding of the id that callers receive.
func (r Request) String() string {
	addr := r.Home.Peer.Addr().Unmap().AsSlice()
	text := make([]byte, 0, 34)
	text = append(text, addr...)
	text = binary.BigEndian.AppendUint16(text, r.Home.Peer.Port())
	text = binary.BigEndian.AppendUint64(text, uint64(r.Home.Incarnation))
	text = binary.BigEndian.AppendUint64(text, r.Sequence)
	return requestPrefix + base64.RawURLEncoding.EncodeToString(text)
}

// ParseRequest parses the result of Request.String. Any other text is an error.
func ParseRequest(text string) (Request, error) {
	malformed := errorx.IllegalFormat.New("malformed request id")
	if len(text) < len(requestPrefix) || text[:len(requestPrefix)] != requestPrefix {
		return Request{}, malformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text[len(requestPrefix):])
	if err != nil || (len(raw) != 4+18 && len(raw) != 16+18) {
		return Request{}, malformed
	}
	addr, _ := netip.AddrFromSlice(raw[:len(raw)-18])
	rest := raw[len(raw)-18:]
	return Request{
		Home: Home{
			Peer:        netip.AddrPortFrom(addr, binary.BigEndian.Uint16(rest)),
			Incarnation: Incarnation(binary.BigEndian.Uint64(rest[2:])),
		},
		Sequence: binary.BigEndian.Uint64(rest[10:]),
	}, nil
}
