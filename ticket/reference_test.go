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

var testStream = ticket.Stream{
	Request: ident.Request{Home: home, Sequence: 1}, Generation: "g.0", Upstream: "engine-1",
	Addr: netip.MustParseAddrPort("127.0.0.1:5"), Team: "reef", Class: "draft",
}

// TestIndexIsBoundToItsStream checks that the signature of an index is valid neither
// for another stream nor for another index.
func TestIndexIsBoundToItsStream(t *testing.T) {
	k := newKeyring(t, oldKey)
	other := testStream
	other.Team = "coast"
	ownReference, otherReference := k.NewReferenceSigner(testStream).Reference(7), k.NewReferenceSigner(other).Reference(7)
	signatureOf := func(reference string) string { return reference[strings.LastIndexByte(reference, '.')+1:] }
	streamOf := func(reference string) string { return strings.TrimSuffix(reference, ".7."+signatureOf(reference)) }
	tests := map[string]string{
		"another stream's signature":   streamOf(ownReference) + ".7." + signatureOf(otherReference),
		"another stream's index":       streamOf(otherReference) + ".7." + signatureOf(ownReference),
		"another index":                streamOf(ownReference) + ".8." + signatureOf(ownReference),
		"an index with a leading zero": streamOf(ownReference) + ".07." + signatureOf(ownReference),
		"an index with a sign":         streamOf(ownReference) + ".+7." + signatureOf(ownReference),
		"no signature":                 streamOf(ownReference) + ".7.",
		"no index":                     streamOf(ownReference),
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			_, _, err := k.VerifyReference(text)
			assert.ErrorContains(t, err, "altered")
		})
	}
}

// TestGenerationIDsInReferences checks that generation ids with and without the
// request's id as their prefix are restored from a reference.
func TestGenerationIDsInReferences(t *testing.T) {
	request := testStream.Request.String()
	tests := map[string]string{
		"the request's first generation":        request + ".0",
		"the request's third generation":        request + ".2",
		"an id with the request's id as prefix": request + "x.0",
		"the request's id itself":               request,
		"another id":                            "g.0",
		"no id":                                 "",
	}
	for name, generation := range tests {
		t.Run(name, func(t *testing.T) {
			k := newKeyring(t, oldKey)
			want := testStream
			want.Generation = generation
			got, _, err := k.VerifyReference(k.NewReferenceSigner(want).Reference(0))
			assert.NilError(t, err)
			assert.Equal(t, got, want)
		})
	}
}

// TestReferenceAcrossRotation checks that a reference stays valid until the key that
// signed it is removed from the ring.
func TestReferenceAcrossRotation(t *testing.T) {
	text := newKeyring(t, oldKey).NewReferenceSigner(testStream).Reference(3)
	_, nextIndex, err := newKeyring(t, newKey, oldKey).VerifyReference(text)
	assert.NilError(t, err)
	assert.Equal(t, nextIndex, 3)
	_, _, err = newKeyring(t, newKey).VerifyReference(text)
	assert.ErrorContains(t, err, "unknown key")
}

// FuzzVerifyReference checks that only texts signed with a key of the ring pass:
// signing an accepted reference again gives the same bytes.
func FuzzVerifyReference(f *testing.F) {
	k, err := ticket.NewKeyring([]ticket.Key{oldKey})
	assert.NilError(f, err)
	reference := k.NewReferenceSigner(testStream).Reference(41)
	f.Add(reference)
	f.Add(reference + ".")
	f.Add("ms1.old." + base64.RawURLEncoding.EncodeToString([]byte(`{}`)) + ".x.0.y")
	f.Add(strings.Replace(reference, ".41.", ".041.", 1))
	f.Add(strings.Replace(reference, ".41.", ".99999999999999999999.", 1))
	f.Add(strings.Replace(reference, "ms1.old.", "ms1.new.", 1))
	f.Add(strings.Replace(reference, "ms1.old.", "mt1.old.", 1))
	f.Add("....")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		stream, nextIndex, err := k.VerifyReference(text)
		if err == nil {
			assert.Equal(t, k.NewReferenceSigner(stream).Reference(nextIndex), text)
		}
	})
}
