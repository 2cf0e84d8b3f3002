package balancer

import "sync"

// Guarded is a fleet that is safe for concurrent use. Its lock is held for one decision and
// never while another lock is taken.
type Guarded struct {
	mu    sync.Mutex
	fleet *Fleet
}

// Guard returns a guarded fleet. The fleet must not be used directly any more.
func Guard(fleet *Fleet) *Guarded {
	return &Guarded{fleet: fleet}
}

// With calls work with the fleet while holding the lock.
func (guarded *Guarded) With(work func(fleet *Fleet)) {
	guarded.mu.Lock()
	defer guarded.mu.Unlock()
	work(guarded.fleet)
}
