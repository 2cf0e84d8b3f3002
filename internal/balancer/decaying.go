package balancer

import (
	"math"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// decaying is a value with exponential decay. Callers pass the half-life, so that recent
// observations weigh more than old ones. The zero value is zero.
type decaying struct {
	value float64
	at    timekeeper.Instant
}

// now returns the decayed value.
func (value *decaying) now(half timekeeper.Span, now timekeeper.Instant) float64 {
	if value.value == 0 {
		return 0
	}
	return value.value * math.Exp2(-float64(now.Since(value.at))/float64(half))
}

// set replaces the value.
func (value *decaying) set(to float64, now timekeeper.Instant) {
	value.value, value.at = to, now
}

// add adds to the decayed value.
func (value *decaying) add(amount float64, half timekeeper.Span, now timekeeper.Instant) {
	value.set(value.now(half, now)+amount, now)
}
