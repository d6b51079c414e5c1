package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Book is a register that a node's parts share. What requests ask of it on their path
// takes no lock, and no digest while nothing is known against anybody. Its methods are
// safe for concurrent use.
type Book struct {
	do       func([]Command) // Must not call the book.
	mu       sync.Mutex
	register *Register
	held     atomic.Pointer[map[Print]time.Time] // nil while nothing is held.
	known    atomic.Int32                        // How many records there are.
}

// NewBook returns a book that knows of nothing. What it wants done is given to do, in order.
func NewBook(do func([]Command)) *Book {
	return &Book{do: do, register: NewRegister()}
}

// Held returns how much longer a request is held, 0 if it is not.
func (b *Book) Held(at time.Time, print func() Print) time.Duration {
	held := b.held.Load()
	if held == nil {
		return 0
	}
	return max((*held)[print()].Sub(at), 0)
}

// Ended takes note that an upstream ended under an attempt, and returns what is known now.
func (b *Book) Ended(at time.Time, p Print, upstream string, began time.Time) Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Ended{At: at, Print: p, Upstream: upstream, Began: began})
	if e := b.register.entries[p]; e != nil {
		return e.told(at)
	}
	return Record{Print: p}
}

// Ends returns the incarnations that are known to have ended under a request.
func (b *Book) Ends(p Print) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.register.entries[p]; e != nil {
		return slices.Clone(e.Ended)
	}
	return nil
}

// Answered takes note of a good answer.
func (b *Book) Answered(at time.Time, print func() Print) {
	if b.known.Load() == 0 {
		return
	}
	p := print()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Answered{At: at, Print: p})
}

// Heard takes what others know.
func (b *Book) Heard(at time.Time, records ...Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Heard{At: at, Records: records})
}

// Lift no longer holds a request, by an operator's word.
func (b *Book) Lift(at time.Time, p Print) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Lifted{At: at, Print: p})
}

// Tick lets time pass.
func (b *Book) Tick(at time.Time) {
	if b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(Ticked{At: at})
}

// Grave returns what a node is told that is met.
func (b *Book) Grave(at time.Time) []Record {
	if b.known.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.register.Grave(at)
}

// update moves the register on, with the lock held, and publishes what is held.
func (b *Book) update(m Message) {
	commands := b.register.Update(m)
	b.known.Store(int32(len(b.register.entries)))
	if len(commands) == 0 {
		return
	}
	b.publish()
	b.do(commands)
}

// publish puts what is held where requests look.
func (b *Book) publish() {
	held := b.register.held()
	if len(held) == 0 {
		b.held.Store(nil)
		return
	}
	b.held.Store(&held)
}
