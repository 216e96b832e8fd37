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
	// indexSignatureBytes is the length of the truncated signature of a token's
	// index. It is short because it is sent with every token, and a forged index
	// only reaches another position in the forger's own stream.
	indexSignatureBytes = 9
)

// Stream is the part of a stream reference that is the same for all tokens of a
// generation.
type Stream struct {
	Request ident.Request
	// Generation is the id of the generation on the engine.
	Generation string
	Upstream   string
	Addr       netip.AddrPort
	Team       string
	Class      string
}

// streamWire is the encoding of a Stream in a reference. Its field names are short,
// because it is sent with every token, possibly over a satellite link.
type streamWire struct {
	Request string `json:"r"`
	// Generation omits the request's id if the generation's id is that id
	// followed by a dot and a suffix. The field then begins with the dot.
	Generation string         `json:"g"`
	Upstream   string         `json:"u"`
	Addr       netip.AddrPort `json:"a"`
	Team       string         `json:"t"`
	Class      string         `json:"c"`
}

func streamToWire(s Stream) streamWire {
	request := s.Request.String()
	generation := s.Generation
	if suffix, hasPrefix := strings.CutPrefix(generation, request); hasPrefix && strings.HasPrefix(suffix, ".") {
		generation = suffix
	}
	return streamWire{request, generation, s.Upstream, s.Addr, s.Team, s.Class}
}

func streamFromWire(wire streamWire) (Stream, error) {
	request, err := ident.ParseRequest(wire.Request)
	if err != nil {
		return Stream{}, errInvalid
	}
	generation := wire.Generation
	if strings.HasPrefix(generation, ".") {
		generation = wire.Request + generation
	}
	return Stream{request, generation, wire.Upstream, wire.Addr, wire.Team, wire.Class}, nil
}

// ReferenceSigner makes the references of one stream. It signs the stream only once,
// because that is expensive. Each reference adds a token index and a short signature
// over the stream's signature and the index. A ReferenceSigner is not safe for
// concurrent use.
type ReferenceSigner struct {
	signedStream string
	index        indexSigner
}

// NewReferenceSigner signs the stream and returns the signer of its references.
func (k *Keyring) NewReferenceSigner(s Stream) *ReferenceSigner {
	key := k.load()[0]
	signedStream := key.sign(streamPrefix, streamToWire(s))
	return &ReferenceSigner{signedStream: signedStream, index: newIndexSigner(key.Secret, signedStream)}
}

// Reference returns the reference for a client that has received the tokens before
// nextIndex.
func (r *ReferenceSigner) Reference(nextIndex int) string {
	return string(r.AppendReference(nil, nextIndex))
}

// AppendReference appends to text the reference that Reference returns.
func (r *ReferenceSigner) AppendReference(text []byte, nextIndex int) []byte {
	text = append(text, r.signedStream...)
	text = append(text, '.')
	text = strconv.AppendInt(text, int64(nextIndex), 10)
	text = append(text, '.')
	return r.index.appendSignature(text, nextIndex)
}

// indexSigner signs token indexes of one stream.
type indexSigner struct {
	mac hash.Hash
	// message is the part of the signed message that all indexes share: a prefix
	// that no other signed text begins with, followed by the stream's signature.
	message []byte
	// sum is a buffer for signatures.
	sum []byte
}

func newIndexSigner(secret []byte, signedStream string) indexSigner {
	message := append([]byte("index."), signedStream[strings.LastIndexByte(signedStream, '.')+1:]...)
	return indexSigner{mac: hmac.New(sha256.New, secret), message: append(message, '.')}
}

func (m *indexSigner) appendSignature(text []byte, nextIndex int) []byte {
	prefixLength := len(m.message)
	m.message = strconv.AppendInt(m.message, int64(nextIndex), 10)
	m.mac.Reset()
	m.mac.Write(m.message)
	m.message = m.message[:prefixLength]
	m.sum = m.mac.Sum(m.sum[:0])
	return base64.RawURLEncoding.AppendEncode(text, m.sum[:indexSignatureBytes])
}

// VerifyReference verifies a reference and returns its stream and the index of
// the next token that the client needs.
func (k *Keyring) VerifyReference(text string) (Stream, int, error) {
	dot := strings.LastIndexByte(text, '.')
	if dot < 0 {
		return Stream{}, 0, errInvalid
	}
	body, signature := text[:dot], text[dot+1:]
	dot = strings.LastIndexByte(body, '.')
	if dot < 0 {
		return Stream{}, 0, errInvalid
	}
	var wire streamWire
	if err := k.verify(streamPrefix, body[:dot], &wire); err != nil {
		return Stream{}, 0, err
	}
	nextIndex, err := strconv.Atoi(body[dot+1:])
	if err != nil || nextIndex < 0 || strconv.Itoa(nextIndex) != body[dot+1:] {
		return Stream{}, 0, errInvalid
	}
	if !k.verifyIndex(body[:dot], nextIndex, signature) {
		return Stream{}, 0, errInvalid
	}
	stream, err := streamFromWire(wire)
	return stream, nextIndex, err
}

// verifyIndex checks the signature of an index in a verified stream.
func (k *Keyring) verifyIndex(signedStream string, nextIndex int, signature string) bool {
	id := strings.Split(signedStream, ".")[1]
	for _, key := range k.load() {
		if key.ID == id {
			signer := newIndexSigner(key.Secret, signedStream)
			return hmac.Equal(signer.appendSignature(nil, nextIndex), []byte(signature))
		}
	}
	return false
}
