package balancer

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// readRate is how many prompt tokens an engine reads in a millisecond. The
	// engines in use read 38 to 44; the value only has to weigh reading against
	// waiting.
	readRate = 40.0
	// reuseWeight is how many times its own time reading a prompt again counts. It
	// delays all others at the engine, evicts what they have cached, and the
	// operator pays for it. On the twelve standard days of both sites, twice cut
	// the shared tokens read again by a tenth to a sixth; thrice made short answers
	// wait more on one of them than the reuse was worth.
	reuseWeight = 2.0
	// disturbance is the weight of what reading a prompt costs each request that is
	// at the engine already: while the engine reads, none of them gets a token.
	// Without it a burst at half of what the engines can do made requests leave
	// full engines for others that had to read their prompts; reading made all
	// streams slower, so that engines were fuller still: 0.65 of such a burst were
	// served, with it 0.99. More than a tenth gains nothing.
	disturbance = 0.1
	// crowdCost is what each request at an engine adds to the expected time of
	// the next one, in milliseconds. Each running request makes a step longer and
	// shares the chunks in which prompts are read.
	crowdCost = 4.0
	// plainCost is what each request in a slot of a plain replica adds, in
	// milliseconds; one that waits adds waitCost. Plain calls take tens of
	// milliseconds.
	plainCost = 4.0
	waitCost  = 30.0
	// distanceCost is what another data centre adds, in milliseconds: the round
	// trip, and bytes that the operator pays for. It decides among equals only.
	distanceCost = 3.0
	// near is the difference in expected time below which replicas count as
	// equal, in milliseconds. It is the noise of what entries believe of each
	// other's requests: a request or two.
	near = 6.0
	// sharedParts is how many parts a prompt must have for one of them to be
	// shared: the last one is the request's own.
	sharedParts = 2
	// spare is what a replica may hold beyond the bound on its share, so that
	// few requests at few replicas may lie unevenly. The operators allow three;
	// what peers have begun since their last digest takes the rest.
	spare = 1.0
	// margin takes a part off the bound, for what peers have begun since their
	// last digest.
	margin = 0.85
	// plainDepth is how many requests a plain replica may hold for each slot. At
	// tens of milliseconds a call one that waits there begins in time, and no slot
	// is idle while an entry hears of it; replicas refuse beyond five.
	plainDepth = 2
	// engineDepth is the same for engines: what waits there waits behind what is
	// less urgent, so it waits at the entry instead.
	engineDepth = 1
	// reportLife is how long a replica's own count of its requests is believed: a
	// plain call takes tens of milliseconds, so the count is another one after.
	reportLife = 40 * timekeeper.Millisecond
)

// Ask is a request that needs a replica.
type Ask struct {
	Service string
	// Parts is the prompt, root first; nil for plain services.
	Parts []Part
	// Excluded are incarnations that have had the request.
	Excluded []string
	// Connections is how many requests this entry may have at one replica; zero
	// means any number.
	Connections int
	// Priority is the one that engines read the prompt in, from 0, which is first,
	// to Priorities-1.
	Priority int
	// Within is how long the prompt may wait at an engine before it is read; zero
	// means any time.
	Within timekeeper.Span
}

// Reason says why there is no choice.
type Reason string

// The reasons. The zero value means that there is a choice.
const (
	NoReplicas   Reason = "no-replicas"
	AllUnreached Reason = "all-unreachable"
	AllFull      Reason = "all-full"
	AllTried     Reason = "all-tried"
	noReason     Reason = ""
)

// candidate is a replica with its expected time.
type candidate struct {
	*replica
	uncached int
	// waiting is the time for which the prompt waits before it is read, in
	// milliseconds.
	waiting float64
	// expected is the time until the answer begins, if the replica is sound, in
	// milliseconds.
	expected float64
	// cost is what the choice goes by, in milliseconds.
	cost float64
}

// Choose gives the request to a replica, and counts it there at once. Without a
// choice the placement is nil and the reason says why.
//
// The load: many requests that share long prompt parts, a few hot ones among
// them, beside short ones that want their first token soon. The harm: 9,200
// tokens that are read from nothing hold up all others at an engine for a fifth
// of a second, so a request goes where its prompt is cached, unless the wait
// there is longer than reading it elsewhere.
func (fleet *Fleet) Choose(ask Ask, now timekeeper.Instant) (*Placement, Reason) {
	candidates, reason := fleet.candidates(ask, now)
	if reason != noReason {
		return nil, reason
	}
	count := len(candidates)
	best := slices.MinFunc(candidates, func(a, b candidate) int { return compare(a.cost, b.cost) })
	equals := slices.DeleteFunc(candidates, func(c candidate) bool { return c.cost > best.cost+near })
	chosen := fleet.pick(equals, ask)
	held := fleet.heldAt(chosen.replica, now)
	chosen.running++
	chosen.doubt.tried(now)
	chosen.unread[ask.Priority] += chosen.uncached
	if len(ask.Parts) > 0 {
		fleet.cacheOf(chosen.replica).touch(ask.Parts, now)
	}
	placement := &Placement{
		Replica: chosen.Replica, Uncached: chosen.uncached, Expected: timekeeper.Span(chosen.expected),
		Held: held, Candidates: count, expected: chosen.expected, at: now, priority: ask.Priority,
	}
	chosen.awaited[placement] = struct{}{}
	return placement, noReason
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// candidates returns the replicas that may get the request.
func (fleet *Fleet) candidates(ask Ask, now timekeeper.Instant) ([]candidate, Reason) {
	members := fleet.services[ask.Service]
	listed, untried, reached := 0, 0, 0
	open := make([]candidate, 0, len(members))
	for _, member := range members {
		if member.Leaving {
			continue
		}
		listed++
		if slices.Contains(ask.Excluded, member.ID) {
			continue
		}
		untried++
		if !member.doubt.open(now) {
			continue
		}
		reached++
		if ask.Connections > 0 && member.running >= ask.Connections {
			continue
		}
		open = append(open, fleet.weigh(member, ask, now))
	}
	switch {
	case listed == 0:
		return nil, NoReplicas
	case untried == 0:
		return nil, AllTried
	case reached == 0:
		return nil, AllUnreached
	}
	if len(open) == 0 {
		return nil, AllFull
	}
	return fleet.bounded(useful(open, ask, now, fleet), ask, now)
}

// mostDisturbed bounds the time that reading a prompt which another engine has
// cached takes from the requests at an engine, in milliseconds times requests.
// In simulated overload of 6, 8 and 12 times the usual load 1,000 served 0.955,
// 0.920 and 0.786 of the worth, 2,500 served 0.921, 0.884 and 0.727, and 300 no
// more than 1,000 while one engine in a hundred requests was over its share.
const mostDisturbed = 1000.0

// useful takes out engines where the request would wait for too long, and crowded
// ones that would have to read a prompt which another engine has cached.
//
// The load: more than the engines can do, for seconds. The harm: requests that
// leave a full engine have their prompts read by the next; reading stops all
// streams there, so it is full too, and soon all engines read what others have
// cached. It goes on after the load is gone. A request waits at the entry for
// the engine that has its prompt, or is told to come back.
func useful(open []candidate, ask Ask, now timekeeper.Instant, fleet *Fleet) []candidate {
	if len(ask.Parts) == 0 {
		return open
	}
	least := slices.MinFunc(open, func(a, b candidate) int { return a.uncached - b.uncached }).uncached
	return slices.DeleteFunc(open, func(c candidate) bool {
		if ask.Within > 0 && c.waiting > float64(ask.Within) {
			return true
		}
		extra := float64(c.uncached-least) / readRate
		return extra*float64(fleet.heldAt(c.replica, now)) > mostDisturbed
	})
}

// weigh returns a replica with its expected time.
func (fleet *Fleet) weigh(member *replica, ask Ask, now timekeeper.Instant) candidate {
	held := float64(fleet.heldAt(member, now))
	cost := member.doubt.penalty(now) + member.pace.over(fleet.paceOf(member.Service), now)
	cost += float64(member.overdue(now)) * float64(failurePenalty)
	if member.DataCentre != fleet.settings.DataCentre {
		cost += distanceCost
	}
	if len(ask.Parts) == 0 {
		expected := max(0, held-float64(member.Slots)+1) * waitCost
		return candidate{replica: member, expected: expected, cost: cost + expected + held*plainCost}
	}
	uncached := fleet.cacheOf(member).uncached(ask.Parts)
	waiting := member.waitingFor(ask.Priority, fleet.peersAt(member.key, now).Unread) / readRate
	expected := waiting + float64(uncached)/readRate
	reading := float64(uncached) / readRate
	cost += expected + (reuseWeight-1)*reading + disturbance*reading*held + held*crowdCost
	return candidate{replica: member, uncached: uncached, waiting: waiting, expected: expected, cost: cost}
}

// bounded takes out replicas that hold more than their share.
//
// The load: one key, one team or one data centre that gets much of the traffic.
// The harm: one engine is crushed while others idle. The bound is a multiple of
// the service's mean, set by the operator, plus what few requests may lie
// unevenly. Replicas that can't get work count neither as places nor in the mean.
func (fleet *Fleet) bounded(open []candidate, ask Ask, now timekeeper.Instant) ([]candidate, Reason) {
	if len(open) == 0 {
		return nil, AllFull
	}
	total := 0
	for _, member := range open {
		total += fleet.heldAt(member.replica, now)
	}
	share := margin*fleet.settings.Bound*float64(total)/float64(len(open)) + spare
	places := 1 - kept*fleet.queue(ask.Service).moreUrgent(ask.Priority, now)
	free := slices.DeleteFunc(open, func(c candidate) bool {
		held := float64(fleet.heldAt(c.replica, now))
		return held > share || held >= places*c.depth()
	})
	if len(free) == 0 {
		return nil, AllFull
	}
	return free, noReason
}

// heldAt returns how many requests a replica is believed to hold: what this
// entry and its peers have there, or what the replica said a moment ago.
func (fleet *Fleet) heldAt(member *replica, now timekeeper.Instant) int {
	held := member.running + fleet.peersAt(member.key, now).Running
	if member.report.at != 0 && now.Since(member.report.at) <= reportLife {
		held = max(held, member.report.running+member.report.waiting)
	}
	return held
}

// kept is the share of its places that a replica keeps for what is more urgent,
// if all others are.
//
// The load: long answers that are least urgent beside short ones that are more
// so, for seconds. The harm: long answers fill the places while they are free,
// and urgent ones, which would take a tenth of the time, wait until one ends.
//
// In bursts of twelve times the usual load 0.3 served 0.01 to 0.05 more of the
// worth than nothing, in each of six pairs of days.
const kept = 0.3

// depth returns how many requests a replica should hold at most.
func (c candidate) depth() float64 {
	switch {
	case c.Slots <= 0:
		return math.Inf(1)
	case c.cache != nil:
		return engineDepth * float64(c.Slots)
	}
	return plainDepth * float64(c.Slots)
}

// pick chooses among equals: for prompts by rendezvous of the deepest part that
// other requests share, so that all entries agree; else at random, so that
// entries don't herd.
func (fleet *Fleet) pick(equals []candidate, ask Ask) candidate {
	if len(ask.Parts) < sharedParts {
		return equals[fleet.draws.IntN(len(equals))]
	}
	shared := ask.Parts[len(ask.Parts)-sharedParts].ID
	return slices.MaxFunc(equals, func(a, b candidate) int {
		return compare(rendezvous(shared, a.ID), rendezvous(shared, b.ID))
	})
}

// rendezvous returns the rank of a replica for a prompt part, from [0, 1).
func rendezvous(part uint64, id string) float64 {
	digest := xxhash.NewWithSeed(part)
	_, _ = digest.WriteString(id)
	return float64(digest.Sum64()>>11) / math.Exp2(53)
}
