package charge

import (
	"maps"
	"slices"
	"time"

	"mangoloft/ident"
)

const (
	// ticketLifetime is the time from issuing a ticket to its expiry.
	ticketLifetime = 1 * time.Hour
	// expiredRetention is the time after a ticket's expiry during which its home
	// still records whether the ticket ran.
	expiredRetention = 1 * time.Hour
	// markInterval is the minimum time between two expiry marks, and so the
	// resolution at which a ledger records when its tickets were minted.
	markInterval = 1 * time.Minute
	// maxRetriedSequences is the maximum number of sequences whose current attempt
	// is recorded.
	maxRetriedSequences = 1 << 16

	bitsPerWord = 64
)

// Ledger records which tickets of one home ran or were closed. At any time at
// most one process holds it, and only that process may run these tickets.
//
// A sequence runs at most once across all its attempts: a refused ticket is
// closed permanently, and its retry ticket carries the next attempt number. So
// a delayed copy of the refused ticket can't run when it arrives, and the
// refusal that the caller received remains true.
type Ledger struct {
	Home ident.Home
	// FirstSequence is the lowest recorded sequence, a multiple of bitsPerWord.
	FirstSequence uint64
	// Ran holds a bit for each sequence whose call was or may have been sent.
	Ran []uint64
	// Closed holds a bit for each sequence of which no attempt may run.
	Closed []uint64
	// Attempts holds, for each refused sequence, the only attempt that may run.
	Attempts map[uint64]uint32
	// DropAfter is the time after which the whole ledger can be dropped.
	DropAfter time.Time

	// retriedOrder holds the refused sequences, the earliest refusal first.
	retriedOrder []uint64
	// expiryMarks holds marks in the order in which the tickets were minted.
	expiryMarks []expiryMark
}

// expiryMark records that the sequences below sequence can be dropped after
// dropAfter.
type expiryMark struct {
	sequence  uint64
	dropAfter time.Time
}

func newLedger(home ident.Home) *Ledger {
	return &Ledger{Home: home, Attempts: map[uint64]uint32{}}
}

// recordMinted records that the sequence was minted now, and drops expired
// sequences.
func (l *Ledger) recordMinted(now time.Time, sequence uint64) {
	l.DropAfter = now.Add(ticketLifetime + expiredRetention)
	if len(l.expiryMarks) == 0 || l.DropAfter.Sub(l.expiryMarks[len(l.expiryMarks)-1].dropAfter) >= markInterval {
		l.expiryMarks = append(l.expiryMarks, expiryMark{sequence, l.DropAfter})
	}
	for len(l.expiryMarks) > 0 && now.After(l.expiryMarks[0].dropAfter) {
		l.dropBelow(l.expiryMarks[0].sequence)
		l.expiryMarks = l.expiryMarks[1:]
	}
}

// dropBelow drops the records of sequences below sequence, except for those that
// share a word of bits with it.
func (l *Ledger) dropBelow(sequence uint64) {
	words := sequence/bitsPerWord - l.FirstSequence/bitsPerWord
	l.FirstSequence += words * bitsPerWord
	l.Ran = slices.Clone(l.Ran[min(words, uint64(len(l.Ran))):])
	l.Closed = slices.Clone(l.Closed[min(words, uint64(len(l.Closed))):])
	maps.DeleteFunc(l.Attempts, func(s uint64, _ uint32) bool { return s < l.FirstSequence })
}

// hasBit reports whether the sequence's bit is set.
func (l *Ledger) hasBit(bits []uint64, sequence uint64) bool {
	word := (sequence - l.FirstSequence) / bitsPerWord
	return word < uint64(len(bits)) && bits[word]&(1<<(sequence%bitsPerWord)) != 0
}

func (l *Ledger) setBit(bits *[]uint64, sequence uint64) {
	word := (sequence - l.FirstSequence) / bitsPerWord
	for uint64(len(*bits)) <= word {
		*bits = append(*bits, 0)
	}
	(*bits)[word] |= 1 << (sequence % bitsPerWord)
}

func (l *Ledger) clearBit(bits []uint64, sequence uint64) {
	if sequence >= l.FirstSequence && l.hasBit(bits, sequence) {
		bits[(sequence-l.FirstSequence)/bitsPerWord] &^= 1 << (sequence % bitsPerWord)
	}
}

// closeAttempt closes all attempts of the sequence up to the given one.
func (l *Ledger) closeAttempt(sequence uint64, attempt uint32) {
	if sequence < l.FirstSequence {
		return
	}
	if _, ok := l.Attempts[sequence]; !ok {
		l.retriedOrder = append(l.retriedOrder, sequence)
	}
	l.Attempts[sequence] = attempt + 1
	for len(l.retriedOrder) > maxRetriedSequences {
		oldest := l.retriedOrder[0]
		l.retriedOrder = l.retriedOrder[1:]
		// Its runnable attempt is no longer recorded, so no attempt may run.
		if _, ok := l.Attempts[oldest]; ok {
			delete(l.Attempts, oldest)
			l.setBit(&l.Closed, oldest)
		}
	}
}
