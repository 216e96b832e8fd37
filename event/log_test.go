package event_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangoloft/event"
)

type versionRecord struct {
	Version int `json:"version"`
}

func TestLog(t *testing.T) {
	const fieldsToName = `"instance":"e1","name":"`
	for name, c := range map[string]struct {
		emit func(l *event.Log, advance func(time.Duration))
		want string
	}{
		"fields": {
			func(l *event.Log, _ func(time.Duration)) { l.Emit(event.ListFailed, "error", errors.New("down")) },
			`{"error":"down","event":303,` + fieldsToName + `list_failed","time":"2027-01-31T09:30:00Z"}` + "\n",
		},
		"a record": {
			func(l *event.Log, _ func(time.Duration)) { l.Emit(event.ConfigAccepted, "record", versionRecord{7}) },
			`{"event":201,` + fieldsToName + `config_accepted","record":{"version":7},"time":"2027-01-31T09:30:00Z"}` + "\n",
		},
		"a repeated event": {
			func(l *event.Log, advance func(time.Duration)) {
				for range 25 {
					l.EmitRateLimited(event.ListFailed)
					advance(time.Second)
				}
			},
			`{"event":303,` + fieldsToName + `list_failed","suppressed":0,"time":"2027-01-31T09:30:00Z"}` + "\n" +
				`{"event":303,` + fieldsToName + `list_failed","suppressed":9,"time":"2027-01-31T09:30:10Z"}` + "\n" +
				`{"event":303,` + fieldsToName + `list_failed","suppressed":9,"time":"2027-01-31T09:30:20Z"}` + "\n",
		},
		"two event numbers": {
			func(l *event.Log, _ func(time.Duration)) {
				l.EmitRateLimited(event.ListFailed)
				l.EmitRateLimited(event.ConfigServiceFailed)
			},
			`{"event":303,` + fieldsToName + `list_failed","suppressed":0,"time":"2027-01-31T09:30:00Z"}` + "\n" +
				`{"event":203,` + fieldsToName + `config_service_failed","suppressed":0,"time":"2027-01-31T09:30:00Z"}` + "\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Date(2027, 1, 31, 9, 30, 0, 0, time.UTC)
			var out bytes.Buffer
			l := event.NewLog(&out, "e1", func() time.Time { return now })
			c.emit(l, func(d time.Duration) { now = now.Add(d) })
			l.Close(time.Now().Add(30 * time.Second))
			assert.Equal(t, out.String(), c.want)
			assert.Equal(t, l.Dropped(), uint64(0))
		})
	}
}
