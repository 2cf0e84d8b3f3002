package balancer

import "sync"

// Guarded is a fleet that several goroutines share. Its lock is held for the
// time of one decision and is never held while another lock is taken.
type Guarded struct {
	mu    sync.Mutex
	fleet *Fleet
}

// Guard returns a fleet to share; the fleet must not be used otherwise.
func Guard(fleet *Fleet) *Guarded {
	return &Guarded{fleet: fleet}
}

// With lets work use the fleet.
func (guarded *Guarded) With(work func(fleet *Fleet)) {
	guarded.mu.Lock()
	defer guarded.mu.Unlock()
	work(guarded.fleet)
}
