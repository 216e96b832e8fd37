package history_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/history"
)

func TestCompare(t *testing.T) {
	tests := map[string]struct {
		p, q  history.Position
		after bool
	}{
		"higher revision of the same era":   {history.Position{Era: 1, Revision: 9}, history.Position{Era: 1, Revision: 8}, true},
		"equal":                             {history.Position{Era: 1, Revision: 9}, history.Position{Era: 1, Revision: 9}, false},
		"lower revision of a later era":     {history.Position{Era: 2, Revision: 3}, history.Position{Era: 1, Revision: 9}, true},
		"higher revision of an earlier era": {history.Position{Era: 1, Revision: 9}, history.Position{Era: 2, Revision: 3}, false},
		"any position and none":             {history.Position{Revision: 1}, history.Position{}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.p.After(test.q), test.after)
			assert.Equal(t, test.p.Compare(test.q), -test.q.Compare(test.p))
			if test.after {
				assert.Equal(t, history.Max(test.q, test.p), test.p)
			}
		})
	}
}
