package ticket_test

import (
	"encoding/base64"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/ident"
	"mangoloft/ticket"
)

var aStream = ticket.Stream{
	Request: ident.Request{Home: home, Sequence: 1}, Generation: "g.0", Upstream: "engine-1",
	Addr: netip.MustParseAddrPort("127.0.0.1:5"), Team: "reef", Class: "draft",
}

// An index is bound to its stream: the signature of one stream's index says
// nothing about another's, nor about another index.
func TestIndexIsBoundToItsStream(t *testing.T) {
	k := ring(t, oldKey)
	other := aStream
	other.Team = "coast"
	mine, theirs := k.NewReferenceSigner(aStream).Reference(7), k.NewReferenceSigner(other).Reference(7)
	signatureOf := func(reference string) string { return reference[strings.LastIndexByte(reference, '.')+1:] }
	streamOf := func(reference string) string { return strings.TrimSuffix(reference, ".7."+signatureOf(reference)) }
	tests := map[string]string{
		"another stream's signature": streamOf(mine) + ".7." + signatureOf(theirs),
		"another stream's index":     streamOf(theirs) + ".7." + signatureOf(mine),
		"another index":              streamOf(mine) + ".8." + signatureOf(mine),
		"the same index, spelled":    streamOf(mine) + ".07." + signatureOf(mine),
		"a signed index":             streamOf(mine) + ".+7." + signatureOf(mine),
		"no signature":               streamOf(mine) + ".7.",
		"no index":                   streamOf(mine),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, _, err := k.VerifyReference(text)
			assert.ErrorContains(t, err, "altered")
		})
	}
}

func TestGenerationsInReferences(t *testing.T) {
	request := aStream.Request.String()
	tests := map[string]string{
		"the request's first":     request + ".0",
		"the request's third":     request + ".2",
		"with a longer name":      request + "x.0",
		"the request's id itself": request,
		"another":                 "g.0",
		"none":                    "",
	}
	for name, generation := range tests {
		t.Run(name, func(t *testing.T) {
			k := ring(t, oldKey)
			want := aStream
			want.Generation = generation
			got, _, err := k.VerifyReference(k.NewReferenceSigner(want).Reference(0))
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		})
	}
}

func TestReferenceAcrossRotation(t *testing.T) {
	text := ring(t, oldKey).NewReferenceSigner(aStream).Reference(3)
	_, next, err := ring(t, newKey, oldKey).VerifyReference(text)
	assert.NilError(t, err)
	assert.Equal(t, next, 3)
	_, _, err = ring(t, newKey).VerifyReference(text)
	assert.ErrorContains(t, err, "unknown key")
}

// FuzzVerifyReference: a text that passes is one that this ring signs, to the
// letter.
func FuzzVerifyReference(f *testing.F) {
	k, err := ticket.NewKeyring([]ticket.Key{oldKey})
	assert.NilError(f, err)
	whole := k.NewReferenceSigner(aStream).Reference(41)
	f.Add(whole)
	f.Add(whole + ".")
	f.Add("ms1.old." + base64.RawURLEncoding.EncodeToString([]byte(`{}`)) + ".x.0.y")
	f.Add(strings.Replace(whole, ".41.", ".041.", 1))
	f.Add(strings.Replace(whole, ".41.", ".99999999999999999999.", 1))
	f.Add(strings.Replace(whole, "ms1.old.", "ms1.new.", 1))
	f.Add(strings.Replace(whole, "ms1.old.", "mt1.old.", 1))
	f.Add("....")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		stream, next, err := k.VerifyReference(text)
		if err == nil {
			assert.Equal(t, k.NewReferenceSigner(stream).Reference(next), text)
		}
	})
}
