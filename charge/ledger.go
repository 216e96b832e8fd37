package charge

import (
	"maps"
	"slices"
	"time"

	"mangoloft/ident"
)

const (
	// ticketLifetime is how long a ticket may be used.
	ticketLifetime = 1 * time.Hour
	// expiredMemory is how long after a ticket's expiry its home can still
	// say whether it ran.
	expiredMemory = 1 * time.Hour
	// markInterval is how finely a ledger knows when its tickets were minted.
	markInterval = 1 * time.Minute
	// maxRetried bounds the sequences whose current attempt is remembered.
	maxRetried = 1 << 16

	bitsPerWord = 64
)

// Ledger is what is known of the tickets of one home. At any time it is held
// by one process at most, which is the only one that may run them.
//
// A sequence runs at most once over all its attempts: a ticket that was
// refused is closed for good, and its successor bears the next attempt. So a
// copy of the refused ticket that is still under way somewhere can't run when
// it arrives, and what the caller was told stays true.
type Ledger struct {
	Home ident.Home
	// FirstSequence is the lowest sequence that is remembered, at a word's border.
	FirstSequence uint64
	// Ran holds a bit for each sequence whose call was sent, or may have been.
	Ran []uint64
	// Closed holds a bit for each sequence of which no attempt may run any more.
	Closed []uint64
	// Attempts holds the attempt that may run, for sequences that were refused.
	Attempts map[uint64]uint32
	// ForgetAt is when nothing in the ledger matters any more.
	ForgetAt time.Time

	retried []uint64
	marks   []mark
}

// mark says when the sequences up to one can be forgotten.
type mark struct {
	sequence uint64
	forgetAt time.Time
}

func newLedger(home ident.Home) *Ledger {
	return &Ledger{Home: home, Attempts: map[uint64]uint32{}}
}

// minted notes that the sequence was given away, and forgets old ones.
func (l *Ledger) minted(now time.Time, sequence uint64) {
	l.ForgetAt = now.Add(ticketLifetime + expiredMemory)
	if len(l.marks) == 0 || l.ForgetAt.Sub(l.marks[len(l.marks)-1].forgetAt) >= markInterval {
		l.marks = append(l.marks, mark{sequence, l.ForgetAt})
	}
	for len(l.marks) > 0 && now.After(l.marks[0].forgetAt) {
		l.forgetBelow(l.marks[0].sequence)
		l.marks = l.marks[1:]
	}
}

func (l *Ledger) forgetBelow(sequence uint64) {
	words := sequence/bitsPerWord - l.FirstSequence/bitsPerWord
	l.FirstSequence += words * bitsPerWord
	l.Ran = slices.Clone(l.Ran[min(words, uint64(len(l.Ran))):])
	l.Closed = slices.Clone(l.Closed[min(words, uint64(len(l.Closed))):])
	maps.DeleteFunc(l.Attempts, func(s uint64, _ uint32) bool { return s < l.FirstSequence })
}

// has reports whether the sequence's bit is set; set sets it and clear clears it.
func (l *Ledger) has(bits []uint64, sequence uint64) bool {
	word := (sequence - l.FirstSequence) / bitsPerWord
	return word < uint64(len(bits)) && bits[word]&(1<<(sequence%bitsPerWord)) != 0
}

func (l *Ledger) set(bits *[]uint64, sequence uint64) {
	word := (sequence - l.FirstSequence) / bitsPerWord
	for uint64(len(*bits)) <= word {
		*bits = append(*bits, 0)
	}
	(*bits)[word] |= 1 << (sequence % bitsPerWord)
}

func (l *Ledger) clear(bits []uint64, sequence uint64) {
	if sequence >= l.FirstSequence && l.has(bits, sequence) {
		bits[(sequence-l.FirstSequence)/bitsPerWord] &^= 1 << (sequence % bitsPerWord)
	}
}

// refuse lets no attempt up to this one run any more.
func (l *Ledger) refuse(sequence uint64, attempt uint32) {
	if sequence < l.FirstSequence {
		return
	}
	if _, ok := l.Attempts[sequence]; !ok {
		l.retried = append(l.retried, sequence)
	}
	l.Attempts[sequence] = attempt + 1
	for len(l.retried) > maxRetried {
		oldest := l.retried[0]
		l.retried = l.retried[1:]
		// Which attempt of it may run is forgotten, so none may.
		if _, ok := l.Attempts[oldest]; ok {
			delete(l.Attempts, oldest)
			l.set(&l.Closed, oldest)
		}
	}
}
