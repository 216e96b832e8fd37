package entry

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangoloft/jsonc"
)

const sampleSettings = `{
  // An instance on a small machine.
  "instance": "edge-a-1",
  "data_centre": "a",
  "listen": {
    "callers": "10.1.0.19:8740", "readiness": "10.1.0.19:8749", "control": "10.1.0.19:8748",
    "peers": "10.1.0.19:7200", "metrics": "10.1.0.19:9100",
  },
  "seeds": ["10.1.0.19:8748", "10.2.0.13:8748"],
  "store": {"address": "10.200.1.7:8742", "apply_ms": 2000, "history_seconds": 20},
  "evacuation": {"apply_ms": 5000},
  "regions": {"a": "north", "b": "south"},
  "limits": {"memory_mb": 120, "descriptors": 2870},
  "stop": {"grace_seconds": 8},
  "retries": {"share": 0.2, "slack": 122, "window_seconds": 10},
  "cold": {"overage": 1.5, "slack": 5},
}`

func TestParse(t *testing.T) {
	s, err := parse("settings.jsonc", []byte(sampleSettings))
	assert.NilError(t, err)
	assert.Equal(t, s.Listen.Peers.Port(), uint16(7200))
	assert.Equal(t, len(s.Seeds), 2)
	assert.Equal(t, s.Retries.Slack, 122.0)
}

func TestParseFaults(t *testing.T) {
	tests := map[string]struct {
		old, replacement string
		want             []string
	}{
		"unknown field":                   {`"seeds"`, `"seed"`, []string{`found unknown field "seed"`}},
		"empty name":                      {`"edge-a-1"`, `""`, []string{"settings.jsonc:3:15: instance:"}},
		"port out of range":               {`10.1.0.19:7200`, `10.1.0.19:99999`, []string{"listen.peers"}},
		"host name instead of an address": {`10.200.1.7:8742`, `store:8742`, []string{"store.address"}},
		"zero grace period":               {`"grace_seconds": 8`, `"grace_seconds": 0`, []string{"stop.grace_seconds"}},
		"negative time to apply a change": {`"apply_ms": 2000`, `"apply_ms": -1`, []string{"store.apply_ms"}},
		"negative time to evacuate":       {`"apply_ms": 5000`, `"apply_ms": -1`, []string{"evacuation.apply_ms"}},
		"negative share":                  {`"share": 0.2`, `"share": -1`, []string{"retries.share"}},
		"absurd share of retries":         {`"share": 0.2`, `"share": 1000`, []string{"retries.share"}},
		"negative slack of retries":       {`"slack": 122`, `"slack": -1`, []string{"retries.slack"}},
		"no window of retries":            {`"window_seconds": 10`, `"window_seconds": 0`, []string{"retries.window_seconds"}},
		"missing window of retries":       {`, "window_seconds": 10`, ``, []string{"retries.window_seconds"}},
		"negative history":                {`"history_seconds": 20`, `"history_seconds": -1`, []string{"store.history_seconds"}},
		"string instead of a number":      {`"memory_mb": 120`, `"memory_mb": "much"`, []string{"limits.memory_mb"}},
		"overage below 1":                 {`"overage": 1.5`, `"overage": 0.5`, []string{"cold.overage"}},
		"negative slack":                  {`"slack": 5`, `"slack": -5`, []string{"cold.slack"}},
		"two faults":                      {`"instance": "edge-a-1",`, `"instance": "", "odd": 1,`, []string{"instance", "odd"}},
		"malformed JSON":                  {`"stop"`, ``, []string{"settings.jsonc:"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := parse("settings.jsonc", []byte(strings.Replace(sampleSettings, test.old, test.replacement, 1)))
			var faults jsonc.Faults
			assert.Assert(t, errors.As(err, &faults), "%v", err)
			for _, want := range test.want {
				assert.Assert(t, strings.Contains(err.Error(), want), "%v", err)
			}
		})
	}
}

// TestTemplate checks that the template of the deployment has exactly the fields of
// the settings. It replaces the template's placeholders with the values of the
// sample.
func TestTemplate(t *testing.T) {
	content, err := os.ReadFile("../platform/settings.jsonc")
	assert.NilError(t, err)
	filled := strings.NewReplacer(
		"{{node-name|json}}", `"edge-a-1"`, "{{zone|json}}", `"a"`, "{{listen.frontend|json}}", `"10.1.0.19:8740"`,
		"{{listen.ready|json}}", `"10.1.0.19:8749"`, "{{listen.control|json}}", `"10.1.0.19:8748"`, "{{ip}}", "10.1.0.19",
		"{{internal-ports.0}}", "7200", "{{#seeds}}{{.|json}}{{,}}{{/seeds}}", `"10.1.0.19:8748", "10.2.0.13:8748"`,
		"{{platform.address|json}}", `"10.200.1.7:8742"`, "{{bounds.config-apply-ms|json}}", "2000", `{{#platform.history-s}}"history_seconds": {{.|json}},{{/platform.history-s}}`, `"history_seconds": 20,`, `{{#bounds.evacuate-ms}}"evacuation": {"apply_ms": {{.|json}}},{{/bounds.evacuate-ms}}`, `"evacuation": {"apply_ms": 5000},`,
		`{{#zones}}"{{@}}": {{.|json}}{{,}}{{/zones}}`, `"a": "north", "b": "south"`, "{{limits.memory-mb|json}}", "120", "{{limits.max-fds|json}}", "2870",
		"{{bounds.grace-s|json}}", "8", "{{bounds.retry-budget-ratio|json}}", "0.2", "{{bounds.retry-slack|json}}", "122",
		"{{bounds.budget-window-s|json}}", "10",
		`{{#bounds.cold-overage}}"cold": {"overage": {{.|json}}, "slack": {{bounds.cold-slack|json}}},{{/bounds.cold-overage}}`, `"cold": {"overage": 1.5, "slack": 5},`,
	).Replace(string(content))
	assert.Assert(t, !strings.Contains(filled, "{{"), filled)
	got, err := parse("settings.jsonc", []byte(filled))
	assert.NilError(t, err)
	want, err := parse("settings.jsonc", []byte(sampleSettings))
	assert.NilError(t, err)
	assert.DeepEqual(t, got, want, compareAddrs)
}

// FuzzParse checks that parsing never panics and returns only valid settings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleSettings))
	f.Add([]byte(`{"listen":{"callers":1}}`))
	f.Fuzz(func(t *testing.T, content []byte) {
		if s, err := parse("f", content); err == nil {
			assert.Assert(t, s.Listen.Callers.IsValid() && s.Stop.GraceSeconds > 0)
		}
	})
}
