package retrier

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// windowSlices is how many slices a window has: the sums move on by a tenth.
	windowSlices = 10
	// keptSlices is how many are kept. Retries count for one slice longer than
	// requests, so that those at the begin of a window still count at its end.
	keptSlices = windowSlices + 1
)

// WindowSettings set up a Window.
type WindowSettings struct {
	// Span is the window's length. It must be positive.
	Span timekeeper.Span
	// Ratio is how many retries each request of the window allows.
	Ratio float64
	// Extra is how many retries the whole fleet may make beyond that.
	Extra float64
}

// Window is what one entry may still send again to one service, when the fleet
// as a whole must stay within a ratio of its requests plus an allowance over
// every window of a length.
//
// The load: replicas that fail in numbers, while requests come by many entries.
// The harm: retries multiply the load on what is left. Each entry takes the
// ratio of its own requests, and its part of the allowance, so that no message
// is needed for a decision and the sum holds whoever comes and goes: an entry
// that restarts has spent its part at most twice, which the caller's choice of
// parts has to allow for.
type Window struct {
	settings WindowSettings
	slots    [keptSlices]windowSlot
}

type windowSlot struct {
	number   int64
	requests float64
	retries  float64
}

// NewWindow returns a window without requests.
func NewWindow(settings WindowSettings) *Window {
	return &Window{settings: settings}
}

func (window *Window) slot(now timekeeper.Instant) *windowSlot {
	length := max(1, int64(window.settings.Span)/windowSlices)
	number := int64(now) / length
	slot := &window.slots[number%keptSlices]
	if slot.number != number {
		*slot = windowSlot{number: number}
	}
	return slot
}

// Earn notes a request.
func (window *Window) Earn(now timekeeper.Instant) {
	window.slot(now).requests++
}

// Spend takes one retry and reports whether there was one. parts is among how
// many entries the allowance is shared.
func (window *Window) Spend(parts int, now timekeeper.Instant) bool {
	if window.Remaining(parts, now) < 1 {
		return false
	}
	window.slot(now).retries++
	return true
}

// Remaining returns how many retries there are: less than one means none.
func (window *Window) Remaining(parts int, now timekeeper.Instant) float64 {
	current := window.slot(now).number
	requests, retries := 0.0, 0.0
	for _, slot := range window.slots {
		age := current - slot.number
		if age < windowSlices {
			requests += slot.requests
		}
		if age < keptSlices {
			retries += slot.retries
		}
	}
	return window.settings.Ratio*requests + window.settings.Extra/float64(max(1, parts)) - retries
}
