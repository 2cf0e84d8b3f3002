package admitter

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Mean is what an agent knows of the load of its whole service, itself
// included. The zero value means that nothing is known.
type Mean struct {
	// Total is the estimated work at all replicas, in tokens.
	Total int64
	// Replicas is how many replicas share it.
	Replicas int
	// Age is how old the knowledge is at most, but for its oldest tenth.
	Age timekeeper.Span
}
