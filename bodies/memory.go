// Package bodies buffers the bodies of messages in a memory that all of them share. One body
// can hold at most as much as is then still free: n bodies without end leave 1/(n+1) of the
// memory to those of ordinary size.
package bodies

import "sync/atomic"

// Memory is the memory for all bodies. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a memory of limit bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Open returns an account, which the caller must close.
func (m *Memory) Open() *Account { return &Account{memory: m} }

// Account is what one user of a Memory holds. It is safe for concurrent use.
type Account struct {
	memory *Memory
	held   atomic.Int64
}

// Grow takes n more bytes and reports whether the account then holds no more than what is still
// free. Otherwise it takes nothing.
func (a *Account) Grow(n int64) bool {
	held := a.held.Add(n)
	if used := a.memory.used.Add(n); held <= a.memory.limit-used {
		return true
	}
	a.Shrink(n)
	return false
}

// Reserve takes n more bytes and reports whether they are free. Otherwise it takes nothing. It
// is for bodies whose size has a limit of its own.
func (a *Account) Reserve(n int64) bool {
	a.Add(n)
	if a.memory.used.Load() <= a.memory.limit {
		return true
	}
	a.Shrink(n)
	return false
}

// Add takes n more bytes, whether they are free or not.
func (a *Account) Add(n int64) {
	a.held.Add(n)
	a.memory.used.Add(n)
}

// Shrink returns n bytes.
func (a *Account) Shrink(n int64) { a.Add(-n) }

// Close returns all that the account holds.
func (a *Account) Close() { a.memory.used.Add(-a.held.Swap(0)) }
