package charge

import (
	"crypto/sha256"
	"maps"
	"slices"

	"github.com/joomcode/errorx"

	"mangoloft/ident"
)

// HandedLedger is a ledger with its kept results, in the form in which its holder
// hands it over to a successor.
type HandedLedger struct {
	Ledger  *Ledger
	Results []KeptResult
}

// KeptResult is the result of a completed call.
type KeptResult struct {
	Sequence uint64
	BodyHash [sha256.Size]byte
	Result   Result
}

// Release permanently gives up all ledgers and returns those for which a ticket was
// minted. It must not be called while a call is running. Even if the handover then
// fails, this executor runs no further tickets, so that a ledger never has two
// holders.
func (x *Executor) Release() []HandedLedger {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.released = true
	x.dropExpired()
	kept := map[ident.Home][]KeptResult{}
	for _, key := range x.executions.completed {
		e := x.executions.byKey[key]
		kept[key.home] = append(kept[key.home], KeptResult{key.sequence, e.bodyHash, e.result})
	}
	var handed []HandedLedger
	for home, ledger := range x.ledgers {
		if !ledger.DropAfter.IsZero() {
			handed = append(handed, HandedLedger{ledger, kept[home]})
		}
	}
	return handed
}

// Adopt adds ledgers that another executor released, and takes ownership of
// handed. A ledger that is already held stays unchanged, so a handover can safely
// be repeated. Adopt fails if this executor has released its own ledgers and any
// of the handed ones is new.
func (x *Executor) Adopt(handed []HandedLedger) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	added := slices.DeleteFunc(handed, func(h HandedLedger) bool {
		_, ok := x.ledgers[h.Ledger.Home]
		return ok
	})
	if x.released && len(added) > 0 {
		return errorx.IllegalState.New("this instance hands its own ledgers over")
	}
	for _, h := range added {
		h.Ledger.retriedOrder = slices.Sorted(maps.Keys(h.Ledger.Attempts))
		x.ledgers[h.Ledger.Home] = h.Ledger
		for _, kept := range h.Results {
			key := executionKey{h.Ledger.Home, kept.Sequence}
			e := x.executions.add(key, kept.BodyHash)
			e.result = kept.Result
			close(e.done)
			x.executions.retain(key)
		}
	}
	x.dropExpired()
	return nil
}

// AdoptedHomes returns the homes whose ledgers this executor adopted, or none
// after Release.
func (x *Executor) AdoptedHomes() []ident.Home {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.released {
		return nil
	}
	x.dropExpired()
	homes := make([]ident.Home, 0, len(x.ledgers)-1)
	for home := range x.ledgers {
		if home != x.home {
			homes = append(homes, home)
		}
	}
	return homes
}

// dropExpired drops adopted ledgers past their DropAfter.
func (x *Executor) dropExpired() {
	now := x.now()
	maps.DeleteFunc(x.ledgers, func(home ident.Home, l *Ledger) bool {
		return home != x.home && now.After(l.DropAfter)
	})
}
