// Package audit keeps the trail of every request and change. Each record
// holds the hash of the one before it, so that a gap or an edit shows.
package audit

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"mangoloft/event"
	"mangoloft/ident"
	"mangoloft/output"
)

const (
	// keptRecords and keptBytes bound the records that stay in memory to be
	// explained.
	keptRecords = 4096
	keptBytes   = 8 << 20
)

// Trail writes the records of one incarnation and keeps the latest in memory.
// It may be used by several goroutines.
type Trail struct {
	out      *output.Writer
	instance string
	home     ident.Home
	now      func() time.Time

	mu       sync.Mutex
	head     Head
	gap      gapRecord
	byKey    map[string][]json.RawMessage
	keys     []string
	keptSize int
}

// Head is the end of a trail. Whoever keeps a copy elsewhere can tell later
// that nothing up to there was changed.
type Head struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
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

// gapRecord is the audit record of records that the trail had to drop.
type gapRecord struct {
	Dropped uint64    `json:"dropped"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
}

// NewTrail returns a trail that writes to w. It must be closed.
func NewTrail(w io.Writer, instance string, home ident.Home, now func() time.Time) *Trail {
	return &Trail{out: output.New(w), instance: instance, home: home, byKey: map[string][]json.RawMessage{}, now: now}
}

// Append writes a record without waiting for the stream. Records with a key
// are kept in memory, for Find, until enough newer ones have come.
//
// When the stream is stuck and the buffer before it full, the record is
// dropped: an instance that can't tell what it does still has to do it. The
// drop doesn't break the chain. The next record that finds room is preceded by
// one that tells how many were dropped.
func (t *Trail) Append(id event.ID, key string, record any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now().UTC()
	if t.gap.Dropped > 0 && !t.admitGap(now) {
		t.drop(now)
		t.keep(key, t.seal(id, now, record, 0).text)
		return
	}
	line := t.seal(id, now, record, t.head.Sequence+1)
	if t.admit(line) {
		t.keep(key, line.text)
		return
	}
	t.drop(now)
	t.keep(key, t.seal(id, now, record, 0).text)
}

func (t *Trail) admitGap(now time.Time) bool {
	if !t.admit(t.seal(event.AuditGap, now, t.gap, t.head.Sequence+1)) {
		return false
	}
	t.gap = gapRecord{}
	return true
}

func (t *Trail) admit(line sealed) bool {
	if !t.out.Offer(append(line.text, '\n')) {
		return false
	}
	t.head = Head{t.head.Sequence + 1, line.hash}
	return true
}

func (t *Trail) drop(now time.Time) {
	if t.gap.Dropped == 0 {
		t.gap.From = now
	}
	t.gap.Dropped++
	t.gap.To = now
}

// keep keeps a record in memory and drops the oldest keys beyond the bounds.
func (t *Trail) keep(key string, text []byte) {
	if key == "" || len(text) > keptBytes {
		return
	}
	if _, ok := t.byKey[key]; !ok {
		t.keys = append(t.keys, key)
	}
	t.byKey[key] = append(t.byKey[key], text)
	t.keptSize += len(text)
	for len(t.keys) > keptRecords || t.keptSize > keptBytes {
		for _, old := range t.byKey[t.keys[0]] {
			t.keptSize -= len(old)
		}
		delete(t.byKey, t.keys[0])
		t.keys = t.keys[1:]
	}
}

// Find returns copies of the kept records with the key, oldest first. A record
// that was dropped from the stream has the sequence 0.
func (t *Trail) Find(key string) []json.RawMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := slices.Clone(t.byKey[key])
	for i, text := range found {
		found[i] = slices.Clone(text)
	}
	return found
}

// Head returns the end of the trail.
func (t *Trail) Head() Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.head
}

// Dropped returns how many records the stream has not got.
func (t *Trail) Dropped() uint64 { return t.out.Dropped() }

// Close writes what is left, but not past until, and reports whether the whole
// trail was written.
func (t *Trail) Close(until time.Time) bool {
	t.mu.Lock()
	if t.gap.Dropped > 0 {
		t.admitGap(t.now().UTC())
	}
	t.mu.Unlock()
	return t.out.Close(until)
}

type sealed struct {
	text []byte
	hash string
}

// seal returns the line of a record, with the hash over its bytes behind its
// last field.
func (t *Trail) seal(id event.ID, now time.Time, record any, sequence uint64) sealed {
	content, err := json.Marshal(recordWire{
		uint16(id), id.String(), t.instance, t.home.Incarnation, sequence, now, t.head.Hash, record,
	})
	if err != nil {
		panic(err) // Records are plain structs of this module, and they all marshal.
	}
	hash := hashOf(content)
	text := append(content[:len(content)-1:len(content)-1], hashField+hash+hashEnd...)
	return sealed{text[:len(text):len(text)], hash}
}

const (
	hashField = `,"hash":"`
	hashEnd   = `"}`
)

func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
