package retrier

import (
	"math"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// windowSlices is the number of slices into which a span is divided. Requests and retries are
// counted by slice, which costs about 1/windowSlices of the budget.
const windowSlices = 50

// WindowSettings configures a Window.
type WindowSettings struct {
	// Span is the length of the windows. It must be positive.
	Span timekeeper.Span
	// Ratio is how many retries each request of a window allows.
	Ratio float64
	// Extra is how many further retries all entries together may make in a window.
	Extra float64
	// StartedAt is when the process started; zero means long ago, or that it has no predecessor.
	StartedAt timekeeper.Instant
}

// Window limits the retries of one process to one service, so that the retries of all processes
// together stay within the fleet's budget: in every window of length Span at most Ratio times the
// requests, plus Extra. The requests are those of that window or of the one before, whichever has
// more.
//
// No message is needed, and no process has to know what others have spent, earlier ones under the
// same name included. For each window, a process may make at most
//
//	Ratio/2 x its requests in the window
//	+ Ratio/2 x its requests in the window before
//	+ its part of Extra, if it was running when the window began
//
// retries. Over all processes, the first two terms add up to Ratio times the mean of the requests
// of two windows, which is at most the larger of them, wherever callers move and however often
// processes restart. The parts of the processes that run at one time add up to Extra.
//
// The second term lets a process spend at once, when replicas begin to fail, half of what it has
// earned before.
type Window struct {
	settings    WindowSettings
	sliceLength timekeeper.Span
	// wholeSlices is the number of whole slices in a span. The instants of a window are in up to
	// mostSlices + 1 slices.
	wholeSlices, mostSlices int64
	slices                  []windowSlice
	// reserved is the number of retries that are reserved and not spent.
	reserved float64
}

type windowSlice struct {
	number   int64
	requests float64
	retries  float64
}

// NewWindow returns a window without requests.
func NewWindow(settings WindowSettings) *Window {
	length := max(1, settings.Span/windowSlices)
	whole, most := int64(settings.Span/length), int64((settings.Span+length-1)/length)
	return &Window{
		settings: settings, sliceLength: length, wholeSlices: whole, mostSlices: most, slices: make([]windowSlice, whole+most+1),
	}
}

// number returns the number of the slice that holds an instant.
func (window *Window) number(at timekeeper.Instant) int64 {
	return int64(at) / int64(window.sliceLength)
}

// at returns the slice with a number, cleared if it held an earlier one.
func (window *Window) at(number int64) *windowSlice {
	kept := int64(len(window.slices))
	slice := &window.slices[(number%kept+kept)%kept]
	if slice.number != number {
		*slice = windowSlice{number: number}
	}
	return slice
}

// Earn counts a request.
func (window *Window) Earn(now timekeeper.Instant) { window.at(window.number(now)).requests++ }

// Reserve reserves one retry, if one remains, and reports whether it did. parts is the number of
// parts into which Extra is divided; each process uses one, or none while parts is zero, since it
// does not know of others. Each reservation ends with a call of Spend or Release.
func (window *Window) Reserve(parts int, now timekeeper.Instant) bool {
	if window.Usage(parts, now).Remaining < 1 {
		return false
	}
	window.reserved++
	return true
}

// Spend ends a reservation when its retry is about to be sent, and reports whether it may be sent.
// It may not if the requests have become so few since that the retry no longer fits.
func (window *Window) Spend(parts int, now timekeeper.Instant) bool {
	window.Release()
	if window.unspent(parts, now) < 1 {
		return false
	}
	window.at(window.number(now)).retries++
	return true
}

// Release ends a reservation whose retry is not sent. It panics if there is no reservation.
func (window *Window) Release() {
	if window.reserved < 1 {
		panic("retrier: no retry is reserved")
	}
	window.reserved--
}

// Usage is what a process has counted, and what remains.
type Usage struct {
	// Requests and Retries are those of the last span.
	Requests, Retries float64
	// Reserved are retries that are about to be sent.
	Reserved float64
	// Remaining is the number of retries that remain; below 1 Reserve reserves none.
	Remaining float64
}

// Usage returns the state of the window.
func (window *Window) Usage(parts int, now timekeeper.Instant) Usage {
	current := window.number(now)
	usage := Usage{Reserved: window.reserved, Remaining: window.unspent(parts, now) - window.reserved}
	for number := current - window.wholeSlices + 1; number <= current; number++ {
		usage.Requests += window.at(number).requests
		usage.Retries += window.at(number).retries
	}
	return usage
}

// unspent returns how many more retries fit into each window that holds now. Whether retries of the
// slice in which a window begins are in it is not known: they count. Requests that may have come
// before the previous window do not.
func (window *Window) unspent(parts int, now timekeeper.Instant) float64 {
	current, started := window.number(now), window.number(window.settings.StartedAt)
	part := 0.0
	if parts > 0 {
		part = window.settings.Extra / float64(parts)
	}
	requests, retries, least := 0.0, 0.0, math.Inf(1)
	for number := current - window.wholeSlices + 1; number < current; number++ {
		requests += window.at(number + 1).requests
	}
	for first := current; first >= current-window.mostSlices; first-- {
		requests += window.at(first - window.wholeSlices + 1).requests
		retries += window.at(first).retries
		allowed := window.settings.Ratio / 2 * requests
		if first > started {
			allowed += part
		}
		least = min(least, allowed-retries)
	}
	return least
}
