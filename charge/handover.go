package charge

import (
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/joomcode/errorx"

	"mangoloft/ident"
)

// Handed is a ledger on its way to the successor of its holder.
type Handed struct {
	Ledger *Ledger
	Kept   []Kept
}

// Kept is the result of a call that is over.
type Kept struct {
	Sequence uint64
	Body     [sha256.Size]byte
	Result   Result
}

// Release gives all ledgers up, for good, and returns them. No call may be
// under way. Whatever becomes of them, this book runs nothing any more, so
// there are never two holders.
func (b *Book) Release() []Handed {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.forget()
	kept := map[ident.Home][]Kept{}
	for _, key := range b.outcomes.order {
		e := b.outcomes.entries[key]
		kept[key.home] = append(kept[key.home], Kept{key.sequence, e.body, e.result})
	}
	var handed []Handed
	for home, ledger := range b.ledgers {
		if !ledger.ForgetAt.IsZero() {
			handed = append(handed, Handed{ledger, kept[home]})
		}
	}
	return handed
}

// Adopt takes ledgers that another book gave up. One that is held already
// stays as it is, so a transfer may be repeated to the same incarnation.
func (b *Book) Adopt(handed []Handed) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	fresh := slices.DeleteFunc(handed, func(h Handed) bool {
		_, held := b.ledgers[h.Ledger.Home]
		return held
	})
	if b.released && len(fresh) > 0 {
		return errorx.IllegalState.New("this instance hands its own ledgers over")
	}
	for _, h := range fresh {
		h.Ledger.retried = slices.Sorted(maps.Keys(h.Ledger.Attempts))
		b.ledgers[h.Ledger.Home] = h.Ledger
		for _, kept := range h.Kept {
			key := entryKey{h.Ledger.Home, kept.Sequence}
			e := b.outcomes.begin(key, kept.Body)
			e.result = kept.Result
			close(e.done)
			b.outcomes.keep(key)
		}
	}
	b.forget()
	return nil
}

// Held returns the homes whose ledgers were handed to this book.
func (b *Book) Held() []ident.Home {
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
func (b *Book) forget() {
	now := b.now()
	maps.DeleteFunc(b.ledgers, func(home ident.Home, l *Ledger) bool {
		return home != b.home && now.After(l.ForgetAt)
	})
}
