package retrier

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// record is when requests reached the fleet and when it sent retries, in order.
type record struct {
	requests, retries []timekeeper.Instant
}

// countIn returns how many instants are in the span that begins at from.
func countIn(instants []timekeeper.Instant, from timekeeper.Instant, span timekeeper.Span) float64 {
	first, _ := slices.BinarySearch(instants, from)
	end, _ := slices.BinarySearch(instants, from.Add(span))
	return float64(end - first)
}

// excess returns by how much the retries of a window exceed the limit: a ratio of the requests of
// that window, the one before, or the one half a span before, whichever has most, and the extra.
func (record record) excess(from timekeeper.Instant, settings WindowSettings) float64 {
	requests := 0.0
	for _, earlier := range []timekeeper.Span{0, settings.Span / 2, settings.Span} {
		requests = max(requests, countIn(record.requests, from.Add(-earlier), settings.Span))
	}
	return countIn(record.retries, from, settings.Span) - settings.Ratio*requests - settings.Extra
}

// worst returns the greatest excess of all windows that begin or end with a retry, and the start
// of that window.
func (record record) worst(settings WindowSettings) (excess float64, start timekeeper.Instant) {
	excess = -settings.Extra
	for _, at := range record.retries {
		for _, from := range []timekeeper.Instant{at, at.Add(1 - settings.Span)} {
			if found := record.excess(from, settings); found > excess {
				excess, start = found, from
			}
		}
	}
	return excess, start
}

// fleet is a number of entries that know each other, with the record of what they get and send.
type fleet struct {
	settings WindowSettings
	entries  []*Window
	record   record
	now      timekeeper.Instant
}

// parts are those of a fleet with that many entries: one of twice as many for each, at least 8.
func (fleet *fleet) parts() int { return max(8, 2*len(fleet.entries)) }

// process returns the window of a process that starts now.
func (fleet *fleet) process() *Window {
	settings := fleet.settings
	settings.StartedAt = fleet.now
	return NewWindow(settings)
}

func (fleet *fleet) join() { fleet.entries = append(fleet.entries, fleet.process()) }

func (fleet *fleet) restart(entry int) { fleet.entries[entry] = fleet.process() }

// serve passes a request to an entry that is refused by as many replicas as retries says.
func (fleet *fleet) serve(entry, retries int) {
	fleet.record.requests = append(fleet.record.requests, fleet.now)
	fleet.handle(entry, retries)
}

// handle handles a request that an entry has received.
func (fleet *fleet) handle(entry, retries int) {
	fleet.entries[entry].Earn(fleet.now)
	for range retries {
		if fleet.entries[entry].Reserve(fleet.parts(), fleet.now) {
			fleet.send(entry)
		}
	}
}

// send sends a reserved retry of an entry, if it may still be sent.
func (fleet *fleet) send(entry int) {
	if fleet.entries[entry].Spend(fleet.parts(), fleet.now) {
		fleet.record.retries = append(fleet.record.retries, fleet.now)
	}
}

// newFleet returns a fleet whose first entries started long ago.
func newFleet(entries int, settings WindowSettings) *fleet {
	fleet := &fleet{settings: settings}
	for range entries {
		fleet.join()
	}
	fleet.now = timekeeper.Instant(timekeeper.Hour)
	return fleet
}

var fleetSettings = WindowSettings{Span: 10 * timekeeper.Second, Ratio: 0.2, Extra: 52}

// TestAFleetStaysWithinItsRetries guards against retries beyond the fleet's budget while entries
// restart, join or leave, and callers move from some entries to others.
func TestAFleetStaysWithinItsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet(rapid.IntRange(1, 6).Draw(t, "entries"), fleetSettings)
		for range rapid.IntRange(1, 40).Draw(t, "phases") {
			switch rapid.SampledFrom([]string{"none", "restart", "restart all", "join", "leave"}).Draw(t, "change") {
			case "restart":
				fleet.restart(rapid.IntRange(0, len(fleet.entries)-1).Draw(t, "entry"))
			case "restart all":
				for i := range fleet.entries {
					fleet.restart(i)
				}
			case "join":
				fleet.join()
			case "leave":
				fleet.entries = fleet.entries[:max(1, len(fleet.entries)-1)]
			}
			// Callers use the entries up to one; the pause between requests and the share of
			// replicas that refuse stay the same through a phase.
			used := rapid.IntRange(1, len(fleet.entries)).Draw(t, "used")
			pause := timekeeper.Span(rapid.IntRange(0, 120).Draw(t, "pause"))
			retries := rapid.IntRange(0, 3).Draw(t, "retries")
			for request := range rapid.IntRange(1, 150).Draw(t, "requests") {
				fleet.now = fleet.now.Add(pause)
				fleet.serve(request%used, retries)
			}
		}
		if excess, from := fleet.record.worst(fleetSettings); excess > 0 {
			t.Fatalf("%v retries too many in the window from %v", excess, from)
		}
	})
}

// TestDisruptionsOfAFleetThatIsRefused guards against retries beyond the fleet's budget while
// replicas refuse most requests, for each way in which processes and callers come and go.
func TestDisruptionsOfAFleetThatIsRefused(t *testing.T) {
	const (
		entries, pause  = 4, 5 * timekeeper.Millisecond
		refusing, ended = 12 * timekeeper.Second, 24 * timekeeper.Second
	)
	restartAll := func(fleet *fleet) {
		for i := range fleet.entries {
			fleet.restart(i)
		}
	}
	tests := []struct {
		name string
		// disrupt is called for each request after the replicas have begun to refuse, and returns
		// the entry that gets it.
		disrupt func(fleet *fleet, request int, since timekeeper.Span) int
	}{
		{"nothing else happens", func(_ *fleet, request int, _ timekeeper.Span) int { return request % entries }},
		{"the entries are stopped in turn", func(fleet *fleet, request int, since timekeeper.Span) int {
			if since%(2*timekeeper.Second) == timekeeper.Second {
				fleet.restart(int(since/(2*timekeeper.Second)) % entries)
			}
			return request % entries
		}},
		{"all entries are killed twice", func(fleet *fleet, request int, since timekeeper.Span) int {
			if since == 2*timekeeper.Second || since == 5*timekeeper.Second {
				restartAll(fleet)
			}
			return request % entries
		}},
		{"all entries crash every second", func(fleet *fleet, request int, since timekeeper.Span) int {
			if since > 0 && since%timekeeper.Second == 0 {
				restartAll(fleet)
			}
			return request % entries
		}},
		{"callers move to other entries", func(_ *fleet, request int, since timekeeper.Span) int {
			return request%2 + 2*(int(since/(3*timekeeper.Second))%2)
		}},
		{"entries join by the dozen", func(fleet *fleet, request int, since timekeeper.Span) int {
			if since > 0 && since%timekeeper.Second == 0 {
				for range 12 {
					fleet.join()
				}
			}
			return request % len(fleet.entries)
		}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := newFleet(entries, fleetSettings)
			start, request := fleet.now, 0
			for ; fleet.now < start.Add(ended); fleet.now = fleet.now.Add(pause) {
				retries, entry := 0, request%entries
				if since := fleet.now.Since(start.Add(refusing)); since >= 0 {
					retries, entry = 2, test.disrupt(fleet, request, since)
				}
				fleet.serve(entry, retries)
				request++
			}
			excess, _ := fleet.record.worst(fleetSettings)
			So(excess, ShouldBeLessThanOrEqualTo, 0)
		})
	}
}

// TestEntriesThatStandStill guards against retries beyond the budget for requests that are counted
// late, since the entry stood still when they were sent.
func TestEntriesThatStandStill(t *testing.T) {
	const entries, frozen, pause = 4, 2, 5 * timekeeper.Millisecond
	tests := []struct {
		name   string
		frozen timekeeper.Span
	}{{"for half a second", 500}, {"for two seconds", 2000}, {"for three and a half seconds", 3500}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			fleet := newFleet(entries, fleetSettings)
			from := fleet.now.Add(15 * timekeeper.Second)
			to, end := from.Add(test.frozen), from.Add(30*timekeeper.Second)
			for request := 0; fleet.now < end; fleet.now = fleet.now.Add(pause) {
				if fleet.now == to {
					for late := range int(test.frozen / pause) {
						if entry := late % entries; entry < frozen {
							fleet.handle(entry, 2)
						}
					}
				}
				if entry := request % entries; from <= fleet.now && fleet.now < to && entry < frozen {
					fleet.record.requests = append(fleet.record.requests, fleet.now)
				} else {
					fleet.serve(entry, 2)
				}
				request++
			}
			excess, _ := fleet.record.worst(fleetSettings)
			So(excess, ShouldBeLessThanOrEqualTo, 0)
		})
	}
}

func TestRetriesReturnAfterTheWindow(t *testing.T) {
	window := NewWindow(WindowSettings{Span: timekeeper.Second, Extra: 2})
	start := timekeeper.Instant(timekeeper.Hour)
	spend := func(parts int, at timekeeper.Instant) bool {
		return window.Reserve(parts, at) && window.Spend(parts, at)
	}
	Convey("a spent retry is available again after the window", t, func() {
		So(spend(1, start), ShouldBeTrue)
		So(spend(1, start.Add(500)), ShouldBeTrue)
		So(spend(1, start.Add(900)), ShouldBeFalse)
		So(spend(1, start.Add(1000)), ShouldBeFalse)
		So(spend(1, start.Add(1100)), ShouldBeTrue)
		So(spend(1, start.Add(1400)), ShouldBeFalse)
		So(spend(2, start.Add(3000)), ShouldBeTrue)
		So(spend(2, start.Add(3001)), ShouldBeFalse)
	})
}

func TestAReservedRetryCountsWhenItIsSent(t *testing.T) {
	// Guards against retries that are counted when they begin to wait for a replica, and reach one
	// in a later window.
	window := NewWindow(WindowSettings{Span: timekeeper.Second, Extra: 2})
	start := timekeeper.Instant(timekeeper.Hour)
	Convey("one of two is sent later", t, func() {
		So(window.Reserve(1, start), ShouldBeTrue)
		So(window.Reserve(1, start), ShouldBeTrue)
		So(window.Reserve(1, start), ShouldBeFalse)
		window.Release()
		So(window.Spend(1, start.Add(900)), ShouldBeTrue)
		So(window.Usage(1, start.Add(1500)), ShouldResemble, Usage{Retries: 1, Remaining: 1})
		So(window.Release, ShouldPanic)
	})
	Convey("too few requests are left when it is sent", t, func() {
		window := NewWindow(WindowSettings{Span: timekeeper.Second, Ratio: 1})
		window.Earn(start)
		window.Earn(start)
		So(window.Reserve(1, start), ShouldBeTrue)
		So(window.Spend(1, start.Add(2500)), ShouldBeFalse)
	})
}

func TestAProcessSpendsHalfOfWhatItEarnedBefore(t *testing.T) {
	// Guards against callers that fail in the first second of a failure, which retries at other
	// replicas would have served.
	const pause = 20 * timekeeper.Millisecond
	tests := []struct {
		name      string
		startedAt timekeeper.Instant
		want      int
	}{
		{"a process that has run for long, with its part", 0, 50 + 52/8},
		{"one that has just started, without", timekeeper.Instant(timekeeper.Hour), 50},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			settings := fleetSettings
			settings.StartedAt = test.startedAt
			window, now, spent := NewWindow(settings), timekeeper.Instant(timekeeper.Hour), 0
			for range 500 {
				now = now.Add(pause)
				window.Earn(now)
			}
			for window.Reserve(8, now) && window.Spend(8, now) {
				spent++
			}
			So(spent, ShouldBeBetweenOrEqual, test.want-1, test.want)
		})
	}
}
