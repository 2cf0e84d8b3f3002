package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// checkedEntry is an entry of a checkedSite.
type checkedEntry struct {
	*Fleet
	name string
	// down is set once the entry is killed or frozen: it sends nothing and hears nothing.
	down bool
	// older is set if the entry's build makes no checks and reports no rates.
	older bool
}

// event is something that happens at a time in a checkedSite.
type event struct {
	at timekeeper.Instant
	do func()
}

// checkedSite simulates entries that check engines, in steps of a millisecond. One engine turns
// cold, and its row says so only after the simulation.
type checkedSite struct {
	entries []*checkedEntry
	engine  Replica
	now     timekeeper.Instant
	events  []event
	random  *rand.Rand
	// coldSince is when the engine turned cold; zero means that it is warm.
	coldSince timekeeper.Instant
	// arrivals are the times at which requests and checks reached the cold engine.
	arrivals []timekeeper.Instant
	// muted is set if no answer to a check arrives.
	muted bool
}

const (
	// checkDelay is how long a health answer takes, noticeDelay how long it takes until all
	// peers know of a cold engine: what the soak showed for six and for 24 entries.
	checkDelay       = 5 * timekeeper.Millisecond
	noticeDelay      = 25 * timekeeper.Millisecond
	largeNoticeDelay = 100 * timekeeper.Millisecond
	// digestInterval and largeDigestInterval are the times between two digests of an entry.
	smallDigestInterval = 100 * timekeeper.Millisecond
	largeDigestInterval = timekeeper.Second
	// manyEntries is the number of entries from which the larger values apply.
	manyEntries = 24
)

func newCheckedSite(entries int, seed uint64) *checkedSite {
	list := replicasOf("planner", 2, 64)
	site := &checkedSite{engine: list[0], now: start, random: rand.New(rand.NewPCG(seed, 9))}
	names := make([]string, entries)
	for number := range names {
		names[number] = fmt.Sprintf("10.0.0.%d:7000", number)
	}
	for number := range names {
		settings := coldSettings
		settings.Seed = seed<<16 | uint64(number)
		entry := &checkedEntry{Fleet: New(settings), name: names[number]}
		entry.SetEngine("planner", Engine{Memory: 300000})
		entry.SetWarmUp("planner", checkedWarmUp)
		entry.SetReplicas(replicasOf("planner", 2, 64), numbered(1))
		entry.SetEntries(names[number], slices.Concat(names[:number], names[number+1:]))
		site.entries = append(site.entries, entry)
		site.later(timekeeper.Span(site.random.Int64N(int64(site.digestInterval()))), func() { site.sendDigests(entry) })
		site.later(timekeeper.Span(site.random.Int64N(100)), func() { site.scan(entry) })
	}
	return site
}

func (site *checkedSite) digestInterval() timekeeper.Span {
	if len(site.entries) >= manyEntries {
		return largeDigestInterval
	}
	return smallDigestInterval
}

func (site *checkedSite) later(span timekeeper.Span, do func()) {
	site.events = append(site.events, event{at: site.now.Add(max(1, span)), do: do})
}

// sendDigests sends an entry's digests to its peers, again and again.
func (site *checkedSite) sendDigests(from *checkedEntry) {
	if from.down {
		return
	}
	inFlight := from.InFlight(site.now)
	if from.older {
		for key, held := range inFlight {
			held.Rate = 0
			inFlight[key] = held
		}
	}
	for _, to := range site.entries {
		if to != from && !to.down {
			to.SetPeerInFlight(from.name, inFlight, max(800, 3*site.digestInterval()), site.now)
			to.SetPeerChecksHealth(from.name, !from.older)
		}
	}
	site.later(site.digestInterval(), func() { site.sendDigests(from) })
}

// scan starts an entry's checks, again and again.
func (site *checkedSite) scan(entry *checkedEntry) {
	if entry.down || entry.older {
		return
	}
	for _, check := range entry.StartHealthChecks(site.now) {
		site.check(entry, check)
	}
	site.later(100, func() { site.scan(entry) })
}

func (site *checkedSite) check(entry *checkedEntry, check HealthCheck) {
	site.arrive(check.Replica)
	said := timekeeper.Span(0)
	if check.Replica.ID == site.engine.ID && site.coldSince != 0 && !site.muted {
		said = checkedWarmUp.Span - site.now.Since(site.coldSince)
	}
	site.later(checkDelay, func() {
		if entry.down || said <= 0 {
			return
		}
		if until, changed := entry.ReportCold(check.Replica.Key(), said, site.now); changed {
			site.tellPeers(entry, until)
		}
	})
	site.later(check.Interval, func() {
		if entry.down {
			return
		}
		if next, again := entry.NextHealthCheck(check, site.now); again {
			site.check(entry, next)
		}
	})
}

func (site *checkedSite) tellPeers(from *checkedEntry, until timekeeper.Instant) {
	delay := noticeDelay
	if len(site.entries) >= manyEntries {
		delay = largeNoticeDelay
	}
	site.later(delay, func() {
		for _, to := range site.entries {
			if to != from && !to.down {
				to.MarkCold(site.engine.Key(), until)
			}
		}
	})
}

// arrive records what reaches an engine.
func (site *checkedSite) arrive(replica Replica) {
	if replica.ID == site.engine.ID && site.coldSince != 0 {
		site.arrivals = append(site.arrivals, site.now)
	}
}

// run sends requests at a rate per engine for a span. A request goes to any entry.
func (site *checkedSite) run(perEngine float64, span timekeeper.Span) {
	until, due := site.now.Add(span), float64(site.now)
	for ; site.now < until; site.now++ {
		var ready []event
		site.events = slices.DeleteFunc(site.events, func(one event) bool {
			if one.at <= site.now {
				ready = append(ready, one)
				return true
			}
			return false
		})
		for _, one := range ready {
			one.do()
		}
		for ; due <= float64(site.now); due += 1000 / (2 * perEngine) {
			site.send(site.entries[site.random.IntN(len(site.entries))])
		}
	}
}

func (site *checkedSite) send(entry *checkedEntry) {
	if entry.down {
		return
	}
	placement, _ := entry.Choose(promptRequest(site.random.Uint64N(200), site.random.Uint64()), site.now)
	if placement == nil {
		return
	}
	site.arrive(placement.Replica)
	entry.AnswerStarted(placement, site.now)
	site.later(100, func() { entry.End(placement, Served, site.now) })
}

// checkers returns the entries that check the engine.
func (site *checkedSite) checkers() (checkers []*checkedEntry) {
	for _, entry := range site.entries {
		if member := entry.replicas[site.engine.ID]; !entry.down && member.checked {
			checkers = append(checkers, entry)
		}
	}
	return checkers
}

// turnCold turns the engine cold.
func (site *checkedSite) turnCold() { site.coldSince = site.now }

// mostInASecond returns the maximum number of arrivals within a second.
func (site *checkedSite) mostInASecond() (most int) {
	first := 0
	for last, at := range site.arrivals {
		for at.Since(site.arrivals[first]) >= timekeeper.Second {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
