package ticket

import (
	"net/netip"
	"strconv"
	"strings"

	"mangoloft/ident"
)

const (
	streamPrefix = "ms1"
	// indexMACLength shortens the signature of one token's index: it stands
	// on every token, and a forged index reaches only the forger's own stream.
	indexMACLength = 12
)

// Stream is the part of a stream reference that all tokens of a generation
// share.
type Stream struct {
	Request ident.Request
	// Generation names the generation at the engine.
	Generation string
	Upstream   string
	Addr       netip.AddrPort
	Team       string
	Class      string
}

// streamWire is a Stream as readers carry it.
type streamWire struct {
	Request    string         `json:"request"`
	Generation string         `json:"generation"`
	Upstream   string         `json:"upstream"`
	Addr       netip.AddrPort `json:"addr"`
	Team       string         `json:"team"`
	Class      string         `json:"class"`
}

// Referrer makes the references of one stream. The costly signature is made
// once; each index adds a short one.
type Referrer struct {
	signed string
	secret []byte
}

// SignStream returns the maker of references into the stream.
func (k *Keyring) SignStream(s Stream) Referrer {
	signed := k.sign(streamPrefix, streamWire{s.Request.String(), s.Generation, s.Upstream, s.Addr, s.Team, s.Class})
	return Referrer{signed: signed, secret: k.keys[0].Secret}
}

// At returns the reference of a reader that has got the tokens before next.
func (r Referrer) At(next int) string {
	body := r.signed + "." + strconv.Itoa(next)
	return body + "." + mac(r.secret, body)[:indexMACLength]
}

// VerifyStream reads what At wrote: the stream, and the index of the next
// token that the reader wants.
func (k *Keyring) VerifyStream(text string) (Stream, int, error) {
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return Stream{}, 0, errForged
	}
	body, signature := text[:dot], text[dot+1:]
	dot = strings.LastIndexByte(body, '.')
	if dot < 0 {
		return Stream{}, 0, errForged
	}
	var wire streamWire
	if err := k.verify(streamPrefix, body[:dot], &wire); err != nil {
		return Stream{}, 0, err
	}
	next, err := strconv.Atoi(body[dot+1:])
	if err != nil || next < 0 || !k.signedIndex(body, signature) {
		return Stream{}, 0, errForged
	}
	request, err := ident.ParseRequest(wire.Request)
	if err != nil {
		return Stream{}, 0, errForged
	}
	return Stream{request, wire.Generation, wire.Upstream, wire.Addr, wire.Team, wire.Class}, next, nil
}

func (k *Keyring) signedIndex(body, signature string) bool {
	id := strings.Split(body, ".")[1]
	for _, key := range k.keys {
		if key.ID == id {
			return mac(key.Secret, body)[:indexMACLength] == signature
		}
	}
	return false
}
