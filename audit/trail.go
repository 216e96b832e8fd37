// Package audit keeps the trail of every request and change. Each record
// holds the hash of the one before it, so that a gap or an edit shows.
package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"sync"
	"time"

	"mangoloft/event"
	"mangoloft/ident"
)

// keptRecords is how many records of requests stay in memory to be explained.
const keptRecords = 4096

// Trail writes the records of one incarnation and keeps the latest in memory.
// It may be used by several goroutines.
type Trail struct {
	mu       sync.Mutex
	w        io.Writer
	instance string
	home     ident.Home
	sequence uint64
	previous string
	byKey    map[string][]json.RawMessage
	keys     []string
	now      func() time.Time
}

// recordWire is one line of the trail, but for the hash at its end.
type recordWire struct {
	Event       uint16            `json:"event"`
	Name        string            `json:"name"`
	Instance    string            `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Sequence    uint64            `json:"sequence"`
	Time        time.Time         `json:"time"`
	Previous    string            `json:"previous"`
	Record      any               `json:"record"`
}

// NewTrail returns a trail that writes to w.
func NewTrail(w io.Writer, instance string, home ident.Home, now func() time.Time) *Trail {
	return &Trail{w: w, instance: instance, home: home, byKey: map[string][]json.RawMessage{}, now: now}
}

// Append writes a record. Records with a key are kept in memory, for Find,
// until keptRecords newer keys have come.
func (t *Trail) Append(id event.ID, key string, record any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	content, err := json.Marshal(recordWire{
		uint16(id), id.String(), t.instance, t.home.Incarnation, t.sequence, t.now().UTC(), t.previous, record,
	})
	if err != nil {
		panic(err) // Records are plain structs of this module, and they all marshal.
	}
	line := seal(content)
	t.previous = line.hash
	// The trail's reader notices a line that was lost here by its number.
	_, _ = t.w.Write(append(line.text, '\n'))
	if key == "" {
		return
	}
	if _, ok := t.byKey[key]; !ok {
		t.keys = append(t.keys, key)
		if len(t.keys) > keptRecords {
			delete(t.byKey, t.keys[0])
			t.keys = t.keys[1:]
		}
	}
	t.byKey[key] = append(t.byKey[key], line.text)
}

// Find returns the kept records with the key, oldest first.
func (t *Trail) Find(key string) []json.RawMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byKey[key]
}

type sealed struct {
	text []byte
	hash string
}

// seal puts the hash over the record's bytes behind its last field.
func seal(content []byte) sealed {
	sum := sha256.Sum256(content)
	hash := hex.EncodeToString(sum[:])
	text := append(content[:len(content)-1:len(content)-1], `,"hash":"`+hash+`"}`...)
	return sealed{text, hash}
}
