package fingerprint_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/fingerprint"
)

func TestFingerprintsOfDifferentRequestsDiffer(t *testing.T) {
	of := func(team, method, host, target, body string) fingerprint.Fingerprint {
		return fingerprint.Of(team, method, host, target, []byte(body))
	}
	first := of("team", "POST", "host", "/a/1?x=2", "body")
	assert.Equal(t, first, of("team", "POST", "host", "/a/1?x=2", "body"))
	for name, other := range map[string]fingerprint.Fingerprint{
		"team": of("team2", "POST", "host", "/a/1?x=2", "body"), "method": of("team", "PUT", "host", "/a/1?x=2", "body"),
		"host": of("team", "POST", "host2", "/a/1?x=2", "body"), "query": of("team", "POST", "host", "/a/1?x=3", "body"),
		"body": of("team", "POST", "host", "/a/1?x=2", "bodz"), "no body": of("team", "POST", "host", "/a/1?x=2", ""),
		"fields moved": of("tea", "mPOST", "host", "/a/1?x=2", "body"), "target moved": of("team", "POST", "host", "/a/1?x=2b", "ody"),
	} {
		assert.Check(t, first != other, name)
	}
}
