package follower

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Interval is a span that grows with how many processes read the same table and tell each
// other what they find there, so that together they read as often as a few would. Each
// still reads for itself within Most, in case what it is told is lost.
type Interval struct {
	// Min is the span for up to Alone readers, Max for any number.
	Min, Max timekeeper.Span
	// MaxUnshared is how many readers don't share; zero means any number.
	MaxUnshared int
}

// shortest and longest bound what part of a shared span one reader takes.
const (
	shortest = 0.5
	longest  = 1.5
)

// spread returns a span that readers share as one of them takes it, by a factor that is
// drawn from [0, 1), so that readers which the same change woke don't go on in step.
func (pacing Interval) spread(span timekeeper.Span, factor float64) timekeeper.Span {
	if span <= pacing.Min {
		return span
	}
	return max(pacing.Min, timekeeper.Span(float64(span)*(shortest+(longest-shortest)*factor)))
}

// FixedInterval returns a pacing that does not depend on the number of readers.
func FixedInterval(span timekeeper.Span) Interval { return Interval{Min: span, Max: span} }

// For returns the span for a number of readers.
func (pacing Interval) For(readers int) timekeeper.Span {
	if pacing.MaxUnshared <= 0 || readers <= pacing.MaxUnshared {
		return pacing.Min
	}
	return min(pacing.Min*timekeeper.Span(readers)/timekeeper.Span(pacing.MaxUnshared), pacing.Max)
}
