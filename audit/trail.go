// Package audit writes and verifies the audit trail of requests and changes.
// Each record contains the hash of the previous one, so that missing and edited
// records can be detected.
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
	// maxKeptKeys and maxKeptBytes limit the number of keys and the total size of the
	// records that are kept in memory for Find.
	maxKeptKeys  = 4096
	maxKeptBytes = 8 << 20
)

// Trail writes the records of one incarnation of an instance and keeps the
// latest ones in memory. It is safe for concurrent use.
type Trail struct {
	out      *output.Writer
	instance string
	home     ident.Home
	now      func() time.Time

	mu sync.Mutex
	// head is the head after the last record that was queued.
	head Head
	// gap counts the records dropped since the last queued record.
	gap gapRecord
	// byKey holds the records kept for Find.
	byKey map[string][]json.RawMessage
	// keys holds the keys of byKey, oldest first.
	keys []string
	// keptBytes is the total size of the records in byKey.
	keptBytes int
}

// Head identifies the last record of a trail. A copy of it that was stored elsewhere
// can later prove that no record up to this one was changed.
type Head struct {
	Sequence uint64 `json:"sequence"`
	Hash     string `json:"hash"`
}

// recordWire is one line of the trail without the hash at its end.
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

// gapRecord is the audit record that reports dropped records.
type gapRecord struct {
	Dropped uint64    `json:"dropped"`
	From    time.Time `json:"from"`
	To      time.Time `json:"to"`
}

// NewTrail returns a trail that writes to w. The caller must close it.
func NewTrail(w io.Writer, instance string, home ident.Home, now func() time.Time) *Trail {
	return &Trail{out: output.New(w), instance: instance, home: home, byKey: map[string][]json.RawMessage{}, now: now}
}

// Append queues a record for writing and does not block. A record with a key is
// also kept in memory for Find until newer ones replace it.
//
// If the buffer is full because writes to the stream block or fail, the record is
// dropped: an instance must keep serving even when it can't write its trail. A drop
// doesn't break the chain of hashes. The next record that fits into the buffer is
// preceded by a record with the number of dropped ones.
func (t *Trail) Append(id event.ID, key string, record any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now().UTC()
	if t.gap.Dropped > 0 && !t.enqueueGap(now) {
		t.countDrop(now)
		t.keep(key, t.seal(id, now, record, 0).text)
		return
	}
	line := t.seal(id, now, record, t.head.Sequence+1)
	if t.enqueue(line) {
		t.keep(key, line.text)
		return
	}
	t.countDrop(now)
	t.keep(key, t.seal(id, now, record, 0).text)
}

// enqueueGap queues the record that reports the dropped records. It returns false if
// the buffer is full.
func (t *Trail) enqueueGap(now time.Time) bool {
	if !t.enqueue(t.seal(event.AuditGap, now, t.gap, t.head.Sequence+1)) {
		return false
	}
	t.gap = gapRecord{}
	return true
}

// enqueue queues a line and advances the head. It returns false if the buffer is
// full.
func (t *Trail) enqueue(line sealedLine) bool {
	if !t.out.Enqueue(append(line.text, '\n')) {
		return false
	}
	t.head = Head{t.head.Sequence + 1, line.hash}
	return true
}

// countDrop adds a dropped record to the gap.
func (t *Trail) countDrop(now time.Time) {
	if t.gap.Dropped == 0 {
		t.gap.From = now
	}
	t.gap.Dropped++
	t.gap.To = now
}

// keep stores a record in memory. While the kept records exceed a limit, it evicts
// the oldest key.
func (t *Trail) keep(key string, text []byte) {
	if key == "" || len(text) > maxKeptBytes {
		return
	}
	if _, ok := t.byKey[key]; !ok {
		t.keys = append(t.keys, key)
	}
	t.byKey[key] = append(t.byKey[key], text)
	t.keptBytes += len(text)
	for len(t.keys) > maxKeptKeys || t.keptBytes > maxKeptBytes {
		for _, evicted := range t.byKey[t.keys[0]] {
			t.keptBytes -= len(evicted)
		}
		delete(t.byKey, t.keys[0])
		t.keys = t.keys[1:]
	}
}

// Find returns copies of the kept records with the key, oldest first. A record that
// was dropped, and so is missing from the stream, has sequence 0.
func (t *Trail) Find(key string) []json.RawMessage {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := slices.Clone(t.byKey[key])
	for i, text := range found {
		found[i] = slices.Clone(text)
	}
	return found
}

// Head returns the head after the last record that was queued.
func (t *Trail) Head() Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.head
}

// Dropped returns the number of records that did not fit into the buffer.
func (t *Trail) Dropped() uint64 { return t.out.Dropped() }

// Close waits until the queued records are written, but no later than the deadline.
// It reports whether all of them were written.
func (t *Trail) Close(deadline time.Time) bool {
	t.mu.Lock()
	if t.gap.Dropped > 0 {
		t.enqueueGap(t.now().UTC())
	}
	t.mu.Unlock()
	return t.out.Close(deadline)
}

// sealedLine is a line of the trail with its hash.
type sealedLine struct {
	text []byte
	hash string
}

// seal encodes a record as a line whose last field is the hash of all other fields.
func (t *Trail) seal(id event.ID, now time.Time, record any, sequence uint64) sealedLine {
	content, err := json.Marshal(recordWire{
		uint16(id), id.String(), t.instance, t.home.Incarnation, sequence, now, t.head.Hash, record,
	})
	if err != nil {
		panic(err) // Records are plain structs of this module that can always be marshalled.
	}
	hash := hashOf(content)
	text := append(content[:len(content)-1:len(content)-1], hashField+hash+hashEnd...)
	return sealedLine{text[:len(text):len(text)], hash}
}

const (
	hashField = `,"hash":"`
	hashEnd   = `"}`
)

func hashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}
