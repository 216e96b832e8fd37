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

// keyReloadInterval is how often the settings file is read for changed keys.
const keyReloadInterval = 1 * time.Second

// keysRecord is the audit record of a key ring. It holds only the keys' ids.
type keysRecord struct {
	Keys []string `json:"keys"`
}

// watchKeys replaces the key ring when the keys in the settings file change, so
// that keys are rotated without a restart. Other settings are not reloaded.
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
