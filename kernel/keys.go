package kernel

import (
	"bytes"
	"context"
	"slices"
	"time"

	"mangoloft/event"
	"mangoloft/settings"
	"mangoloft/ticket"
)

// keysInterval is the time between two looks for other keys.
const keysInterval = 1 * time.Second

// keysRecord is the audit record of a key ring, by the ids of its keys.
type keysRecord struct {
	Keys []string `json:"keys"`
}

// watchKeys puts the keys of the settings file on the ring when they change, so
// that they are rotated without a restart. All other settings stay.
func (rt *Runtime) watchKeys(ctx context.Context, load func(path string) (settings.Settings, error)) error {
	current, fault := rt.Settings.Keys, ""
	ticker := time.NewTicker(keysInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		s, err := load(rt.Settings.File)
		if err == nil && !slices.EqualFunc(s.Keys, current, equalKeys) {
			err = rt.Keyring.Replace(s.Keys)
			if err == nil {
				current = s.Keys
				rt.recordKeys(current)
			}
		}
		if err != nil && err.Error() != fault {
			rt.Log.Emit(event.SettingsUnread, "error", err)
		}
		fault = ""
		if err != nil {
			fault = err.Error()
		}
	}
}

func equalKeys(a, b ticket.Key) bool { return a.ID == b.ID && bytes.Equal(a.Secret, b.Secret) }

func (rt *Runtime) recordKeys(keys []ticket.Key) {
	var record keysRecord
	for _, key := range keys {
		record.Keys = append(record.Keys, key.ID)
	}
	rt.Trail.Append(event.KeysReplaced, "", record)
	rt.Log.Emit(event.KeysReplaced, "keys", record.Keys)
}
