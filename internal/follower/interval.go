package follower

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Interval is a span that grows with the number of processes that read the same table and
// publish what they find, so that together they read as often as a few would. Each still
// reads for itself within Max, in case updates are lost.
type Interval struct {
	// Min is the span for up to MaxUnshared readers, Max the longest span for any number.
	Min, Max timekeeper.Span
	// MaxUnshared is the number of readers up to which each reads at Min; zero means any
	// number.
	MaxUnshared int
}

// minJitter and maxJitter bound the factor by which jitter multiplies a shared span.
const (
	minJitter = 0.5
	maxJitter = 1.5
)

// jitter returns a shared span with jitter, for a factor that is drawn from [0, 1), so that
// readers which the same change woke do not read in step.
func (interval Interval) jitter(span timekeeper.Span, factor float64) timekeeper.Span {
	if span <= interval.Min {
		return span
	}
	return max(interval.Min, timekeeper.Span(float64(span)*(minJitter+(maxJitter-minJitter)*factor)))
}

// FixedInterval returns an interval that does not depend on the number of readers.
func FixedInterval(span timekeeper.Span) Interval { return Interval{Min: span, Max: span} }

// For returns the span for a number of readers.
func (interval Interval) For(readers int) timekeeper.Span {
	if interval.MaxUnshared <= 0 || readers <= interval.MaxUnshared {
		return interval.Min
	}
	return min(interval.Min*timekeeper.Span(readers)/timekeeper.Span(interval.MaxUnshared), interval.Max)
}
