package sequencer

import "sync"

// Eras are the eras of the store that a process knows. The zero value knows none. It is safe for
// concurrent use.
type Eras struct {
	mu            sync.Mutex
	newest, first uint64
}

// Known returns the newest era, and the first one that was learnt; zero means none.
func (eras *Eras) Known() (newest, first uint64) {
	eras.mu.Lock()
	defer eras.mu.Unlock()
	return eras.newest, eras.first
}

// Learn records an era. If it is newer than all before, Learn calls enter with it and the newest
// era before. Concurrent calls return only after enter has returned, so what they apply next
// follows it; enter must not call the eras.
func (eras *Eras) Learn(era uint64, enter func(before uint64)) {
	eras.mu.Lock()
	defer eras.mu.Unlock()
	if era <= eras.newest {
		return
	}
	enter(eras.newest)
	if eras.newest == 0 {
		eras.first = era
	}
	eras.newest = era
}
