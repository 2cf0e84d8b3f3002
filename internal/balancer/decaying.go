package balancer

import (
	"math"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// decaying is a value that halves over a span, which its users give: what was
// seen of late weighs more than what was seen before. The zero value is zero.
type decaying struct {
	value float64
	at    timekeeper.Instant
}

// now returns what is left of the value.
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

// add adds to what is left of the value.
func (value *decaying) add(amount float64, half timekeeper.Span, now timekeeper.Instant) {
	value.set(value.now(half, now)+amount, now)
}
