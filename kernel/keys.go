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

// keyReloadInterval is the time between two reads of the settings file for changed
// keys.
const keyReloadInterval = 1 * time.Second

// keysRecord is the audit record of a replaced key ring. It contains only the ids of
// the keys.
type keysRecord struct {
	Keys []string `json:"keys"`
}

// watchKeys replaces the keys of the key ring when they change in the settings file,
// so that keys can be rotated without a restart. It ignores changes of other
// settings.
func (rt *Runtime) watchKeys(ctx context.Context, load func(path string) (settings.Settings, error)) error {
	current, lastError := rt.Settings.Keys, ""
	ticker := time.NewTicker(keyReloadInterval)
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
		if err != nil && err.Error() != lastError {
			rt.Log.Emit(event.SettingsReadFailed, "error", err)
		}
		lastError = ""
		if err != nil {
			lastError = err.Error()
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
