package gossip

import (
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/standin"
)

// TestMalformedStateIsRefused guards against a state of a peer that is taken from a response that
// is no answer.
func TestMalformedStateIsRefused(t *testing.T) {
	const body = "Content-Length: 17\r\n\r\n" + `{"list_era": 812}`
	for name, test := range map[string]struct {
		response string
		valid    bool
	}{
		"valid":           {"HTTP/1.1 200 OK\r\n" + body, true},
		"status 000":      {"HTTP/1.1 000 no\r\n" + body, false},
		"blank in a name": {"HTTP/1.1 200 OK\r\nX y: z\r\n" + body, false},
		"truncated":       {"HTTP/1.1 200 OK\r\n\r\n" + `{"list_era": 812`, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(standin.RawResponse(test.response))
			defer server.Close()
			var state stateWire
			err := getJSON(t.Context(), server.URL, maxStateBytes, &state)
			assert.Equal(t, err == nil, test.valid, "%v", err)
			assert.Equal(t, state.ListEra == 812, test.valid)
		})
	}
}
