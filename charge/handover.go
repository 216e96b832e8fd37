package charge

import (
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/joomcode/errorx"

	"mangoloft/ident"
)

// HandedLedger is a ledger on its way to the successor of its holder.
type HandedLedger struct {
	Ledger  *Ledger
	Results []KeptResult
}

// KeptResult is the result of a call that is over.
type KeptResult struct {
	Sequence uint64
	BodyHash [sha256.Size]byte
	Result   Result
}

// Release gives all ledgers up, for good, and returns them. No call may be
// under way. Whatever becomes of them, this book runs nothing any more, so
// there are never two holders.
func (b *Executor) Release() []HandedLedger {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.forget()
	kept := map[ident.Home][]KeptResult{}
	for _, key := range b.outcomes.order {
		e := b.outcomes.entries[key]
		kept[key.home] = append(kept[key.home], KeptResult{key.sequence, e.body, e.result})
	}
	var handed []HandedLedger
	for home, ledger := range b.ledgers {
		if !ledger.ForgetAt.IsZero() {
			handed = append(handed, HandedLedger{ledger, kept[home]})
		}
	}
	return handed
}

// Adopt takes ledgers that another book gave up. One that is held already
// stays as it is, so a transfer may be repeated to the same incarnation.
func (b *Executor) Adopt(handed []HandedLedger) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := slices.DeleteFunc(handed, func(h HandedLedger) bool {
		_, held := b.ledgers[h.Ledger.Home]
		return held
	})
	if b.released && len(fresh) > 0 {
		return errorx.IllegalState.New("this instance hands its own ledgers over")
	}
	for _, h := range fresh {
		h.Ledger.retried = slices.Sorted(maps.Keys(h.Ledger.Attempts))
		b.ledgers[h.Ledger.Home] = h.Ledger
		for _, kept := range h.Results {
			key := entryKey{h.Ledger.Home, kept.Sequence}
			e := b.outcomes.begin(key, kept.BodyHash)
			e.result = kept.Result
			close(e.done)
			b.outcomes.keep(key)
		}
	}
	b.forget()
	return nil
}

// AdoptedHomes returns the homes whose ledgers were handed to this book.
func (b *Executor) AdoptedHomes() []ident.Home {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.released {
		return nil
	}
	b.forget()
	held := make([]ident.Home, 0, len(b.ledgers)-1)
	for home := range b.ledgers {
		if home != b.home {
			held = append(held, home)
		}
	}
	return held
}

// forget drops the ledgers of others in which nothing matters any more.
func (b *Executor) forget() {
	now := b.now()
	maps.DeleteFunc(b.ledgers, func(home ident.Home, l *Ledger) bool {
		return home != b.home && now.After(l.ForgetAt)
	})
}
