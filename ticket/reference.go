package ticket

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"hash"
	"net/netip"
	"strconv"
	"strings"

	"mangoloft/ident"
)

const (
	streamPrefix = "ms1"
	// indexMACBytes shortens the signature of one token's index: it stands
	// on every token, and a forged index reaches only the forger's own stream.
	indexMACBytes = 9
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

// streamWire is a Stream as readers carry it. It goes over the line with every
// token, perhaps by satellite, so its names are short.
type streamWire struct {
	Request string `json:"r"`
	// Generation lacks the request's id when it begins with that; it then
	// begins with a dot.
	Generation string         `json:"g"`
	Upstream   string         `json:"u"`
	Addr       netip.AddrPort `json:"a"`
	Team       string         `json:"t"`
	Class      string         `json:"c"`
}

func streamToWire(s Stream) streamWire {
	request := s.Request.String()
	generation := s.Generation
	if rest, found := strings.CutPrefix(generation, request); found && strings.HasPrefix(rest, ".") {
		generation = rest
	}
	return streamWire{request, generation, s.Upstream, s.Addr, s.Team, s.Class}
}

func streamFromWire(wire streamWire) (Stream, error) {
	request, err := ident.ParseRequest(wire.Request)
	if err != nil {
		return Stream{}, errForged
	}
	generation := wire.Generation
	if strings.HasPrefix(generation, ".") {
		generation = wire.Request + generation
	}
	return Stream{request, generation, wire.Upstream, wire.Addr, wire.Team, wire.Class}, nil
}

// ReferenceSigner makes the references of one stream, for one goroutine. The costly
// signature is made once; each index adds a short one over the first and the
// index.
type ReferenceSigner struct {
	signed string
	index  indexMAC
}

// NewReferenceSigner returns the maker of references into the stream.
func (k *Keyring) NewReferenceSigner(s Stream) *ReferenceSigner {
	key := k.all()[0]
	signed := key.sign(streamPrefix, streamToWire(s))
	return &ReferenceSigner{signed: signed, index: newIndexMAC(key.Secret, signed)}
}

// Reference returns the reference of a reader that has got the tokens before next.
func (r *ReferenceSigner) Reference(next int) string { return string(r.AppendReference(nil, next)) }

// AppendReference appends what Reference returns.
func (r *ReferenceSigner) AppendReference(text []byte, next int) []byte {
	text = append(text, r.signed...)
	text = append(text, '.')
	text = strconv.AppendInt(text, int64(next), 10)
	text = append(text, '.')
	return r.index.append(text, next)
}

// indexMAC signs indexes of one stream.
type indexMAC struct {
	keyed hash.Hash
	// message is the part that all indexes share: the signature of the stream,
	// behind a word that no other signed text begins with.
	message []byte
	sum     []byte
}

func newIndexMAC(secret []byte, signed string) indexMAC {
	message := append([]byte("index."), signed[strings.LastIndexByte(signed, '.')+1:]...)
	return indexMAC{keyed: hmac.New(sha256.New, secret), message: append(message, '.')}
}

func (m *indexMAC) append(text []byte, next int) []byte {
	shared := len(m.message)
	m.message = strconv.AppendInt(m.message, int64(next), 10)
	m.keyed.Reset()
	m.keyed.Write(m.message)
	m.message = m.message[:shared]
	m.sum = m.keyed.Sum(m.sum[:0])
	return base64.RawURLEncoding.AppendEncode(text, m.sum[:indexMACBytes])
}

// VerifyReference reads what Reference wrote: the stream, and the index of the next
// token that the reader wants.
func (k *Keyring) VerifyReference(text string) (Stream, int, error) {
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
	if err != nil || next < 0 || strconv.Itoa(next) != body[dot+1:] {
		return Stream{}, 0, errForged
	}
	if !k.signedIndex(body[:dot], next, signature) {
		return Stream{}, 0, errForged
	}
	stream, err := streamFromWire(wire)
	return stream, next, err
}

// signedIndex checks the signature of an index of a verified stream.
func (k *Keyring) signedIndex(signed string, next int, signature string) bool {
	id := strings.Split(signed, ".")[1]
	for _, key := range k.all() {
		if key.ID == id {
			m := newIndexMAC(key.Secret, signed)
			return hmac.Equal(m.append(nil, next), []byte(signature))
		}
	}
	return false
}
