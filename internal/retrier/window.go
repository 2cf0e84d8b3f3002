package retrier

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// windowSlices is the number of slices of a window, which moves by one slice, a
	// tenth of its length, at a time.
	windowSlices = 10
	// keptSlices is the number of slices that are kept. Retries count for one slice
	// longer than requests, so that those at the start of a window still count at
	// its end.
	keptSlices = windowSlices + 1
)

// WindowSettings configures a Window.
type WindowSettings struct {
	// Span is the window's length. It must be positive.
	Span timekeeper.Span
	// Ratio is how many retries each request of the window allows.
	Ratio float64
	// Extra is how many further retries all entries together may make in a window.
	Extra float64
}

// Window limits the retries of one entry to one service, so that the retries of
// all entries together stay within a ratio of their requests plus an allowance,
// over every window of length Span.
//
// It keeps retries from multiplying the load on the remaining replicas when many
// replicas fail while requests arrive through many entries. Each entry uses the
// ratio of its own requests and its part of the allowance, so that a decision
// needs no message and the total holds while entries come and go. An entry that
// restarts spends its part at most twice; the caller must choose the number of
// parts to allow for that.
type Window struct {
	settings WindowSettings
	slices   [keptSlices]windowSlice
}

type windowSlice struct {
	number   int64
	requests float64
	retries  float64
}

// NewWindow returns a window without requests.
func NewWindow(settings WindowSettings) *Window {
	return &Window{settings: settings}
}

// slice returns the current slice, cleared if it held an earlier one.
func (window *Window) slice(now timekeeper.Instant) *windowSlice {
	length := max(1, int64(window.settings.Span)/windowSlices)
	number := int64(now) / length
	slice := &window.slices[number%keptSlices]
	if slice.number != number {
		*slice = windowSlice{number: number}
	}
	return slice
}

// Earn counts a request.
func (window *Window) Earn(now timekeeper.Instant) {
	window.slice(now).requests++
}

// Spend takes one retry and reports whether there was one. parts is the number of
// parts into which the allowance is divided; each entry uses one.
func (window *Window) Spend(parts int, now timekeeper.Instant) bool {
	if window.Remaining(parts, now) < 1 {
		return false
	}
	window.slice(now).retries++
	return true
}

// Remaining returns the number of retries that remain; below 1 Spend takes none.
func (window *Window) Remaining(parts int, now timekeeper.Instant) float64 {
	return window.Usage(parts, now).Remaining
}

// Usage is what a window has counted, and what remains.
type Usage struct {
	// Requests and Retries are those of the last span.
	Requests, Retries float64
	// Remaining is the number of retries that remain; below 1 Spend takes none.
	Remaining float64
}

// Usage returns the state of the window.
func (window *Window) Usage(parts int, now timekeeper.Instant) Usage {
	current := window.slice(now).number
	var usage Usage
	for _, slice := range window.slices {
		age := current - slice.number
		if age < windowSlices {
			usage.Requests += slice.requests
		}
		if age < keptSlices {
			usage.Retries += slice.retries
		}
	}
	usage.Remaining = window.settings.Ratio*usage.Requests + window.settings.Extra/float64(max(1, parts)) - usage.Retries
	return usage
}
