package admitter

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Mean is an agent's estimate of the load of its whole service, its own replica
// included, from which the mean load of a replica follows. The zero value means
// that the load is unknown.
type Mean struct {
	// Total is the estimated work of all replicas, in tokens.
	Total int64
	// Replicas is the number of replicas that Total is spread over.
	Replicas int
	// Age is the maximum age of the reports in the estimate, leaving out the oldest
	// tenth of them.
	Age timekeeper.Span
}
