package imitator

import (
	"maps"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// Copy is a copy of the platform's rows and objects.
type Copy struct {
	rows    map[string]storekeeper.Row
	objects map[string][]byte
	version uint64
}

// Copy returns a copy that the platform can come back from.
func (platform *Platform) Copy() Copy {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return Copy{rows: maps.Clone(platform.rows), objects: maps.Clone(platform.objects), version: platform.version}
}

// Restore replaces rows and objects by a copy. What was written since is gone, the versions of
// rows are given out again, and a new era begins.
func (platform *Platform) Restore(from Copy) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.rows, platform.objects, platform.version = maps.Clone(from.rows), maps.Clone(from.objects), from.version
	platform.era++
}
