package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// transferSetup is what a transfer takes beside its bytes, in milliseconds: a
	// round trip between engines and the room that is made for what comes.
	transferSetup = 2.0
	// DefaultMovePrice is how many prompt tokens that are read cost operators as
	// much as a gigabyte that engines hand on. It makes reading the cheaper way from
	// some 520 KB a token on while engines have slack, and from 870 KB on where they
	// are full.
	DefaultMovePrice = 2300.0
	// mostBlamed is how long a transfer may be overdue for its source to be left
	// out as if it had failed, in milliseconds.
	mostBlamed = 300.0
)

// holding is what an engine is believed to have cached of a prompt.
type holding struct {
	*replica
	// shared is how many tokens of the shared parts it has, from the root on, and
	// uncached how many of the whole prompt it lacks.
	shared, uncached int
	// peers is what peers have under way there, load how many requests it is believed to
	// hold, and waiting for how long the prompt would wait, in milliseconds.
	peers   InFlight
	load    int
	waiting float64
}

// source is the engine that another one fetches from.
type source struct {
	*replica
	tokens int
}

// sources are the engines that may hand on parts of a prompt, those with the most
// of it, and what the choice weighs moving and reading by.
type sources struct {
	engine Engine
	// rate is how many tokens an engine reads in a millisecond.
	rate float64
	best []source
	// price is what moving a token costs beside its time, in milliseconds.
	price float64
	// weight is how much time counts.
	weight timeWeight
}

// sourcesOf finds who may hand on parts of a prompt. An engine that leaves still hands on
// what it has; one that can't be reached, has failed of late or kept others waiting for a
// transfer doesn't count.
func (fleet *Fleet) sourcesOf(ask Request, held []holding, now timekeeper.Instant) sources {
	engine := fleet.engines[ask.Service]
	found := sources{
		engine: engine, rate: fleet.settings.PrefillRate, price: fleet.movePrice(engine), weight: fleet.timeWeight(ask, held, now),
	}
	if !engine.hands() {
		return found
	}
	most := 0
	for _, holding := range held {
		if holding.shared == 0 || holding.shared < most || !holding.lends(ask, now) {
			continue
		}
		if holding.shared > most {
			most, found.best = holding.shared, found.best[:0]
		}
		found.best = append(found.best, source{replica: holding.replica, tokens: holding.shared})
	}
	return found
}

// lends reports whether a replica may be named as a source.
func (known *replica) lends(ask Request, now timekeeper.Instant) bool {
	return known.doubt.open(now) && known.doubt.penalty(now) < float64(failurePenalty) &&
		known.lending.excess.now(paceMemory, now) < mostBlamed && !slices.Contains(ask.Excluded, known.ID)
}

// movePrice returns what handing on a token costs the operators, as the time that
// reading as much as that would take an engine.
func (fleet *Fleet) movePrice(engine Engine) float64 {
	const gigabyte = 1e9
	return priceWeight * fleet.settings.MovePrice * engine.TokenBytes / gigabyte / fleet.settings.PrefillRate
}

// fetch is how an engine would get parts of a prompt from another one.
type fetch struct {
	from *replica
	// tokens are handed on in time milliseconds, of which the links carry bytes for
	// busy; price is what the operators pay for it, as time.
	tokens            int
	time, busy, price float64
}

// to returns how an engine that has some tokens of a prompt gets the rest, from
// whom it has it soonest; from is nil where reading is cheaper or as fast.
func (sources sources) to(known *replica, has int, held int, now timekeeper.Instant) fetch {
	var chosen fetch
	for _, candidate := range sources.best {
		tokens := candidate.tokens - has
		if tokens <= 0 || candidate.replica == known {
			continue
		}
		busy := sources.engine.transfer(tokens)
		time := busy + waitFor(now, known, candidate.replica) + max(0, candidate.lending.excess.now(paceMemory, now))
		if chosen.from == nil || time < chosen.time {
			chosen = fetch{from: candidate.replica, tokens: tokens, time: time, busy: busy}
		}
	}
	if chosen.from == nil {
		return fetch{}
	}
	chosen.price = sources.price * float64(chosen.tokens)
	reading := float64(chosen.tokens) / sources.rate
	weight := sources.weight.at(reading)
	if chosen.time >= reading || chosen.price+weight*chosen.time >= readCost(reading, held, weight) {
		return fetch{}
	}
	return chosen
}

// waitFor returns how long this entry's transfers keep the links of two engines,
// in milliseconds.
func waitFor(now timekeeper.Instant, one, other *replica) float64 {
	return float64(max(0, max(one.linkFree, other.linkFree).Since(now)))
}

// hold notes that the links of both engines are busy with a transfer.
func (fetch fetch) hold(to *replica, now timekeeper.Instant) {
	free := now.Add(moment(waitFor(now, to, fetch.from) + fetch.busy))
	to.linkFree, fetch.from.linkFree = free, free
}

// withoutFetch returns the candidate as one that reads all it lacks.
func (fleet *Fleet) withoutFetch(c candidate) candidate {
	c.uncached += c.fetch.tokens
	c.expected += float64(c.fetch.tokens)/fleet.settings.PrefillRate - c.fetch.time
	c.fetch = fetch{}
	return c
}

// guess names an engine that may have the prompt although this entry doesn't know
// of it: the first in the preference order beside the chosen one. It does so where
// more than half of what is missing would have to be read: a root is shared by many
// prompts, so nearly always some engine is known to have that much. Entries that have
// started again know nothing; a source that has nothing costs the setup of a transfer.
func (fleet *Fleet) guess(ask Request, chosen candidate, held []holding, now timekeeper.Instant) *replica {
	shared := SharedParts(ask.Parts)
	engine := fleet.engines[ask.Service]
	if len(shared) == 0 || !engine.hands() {
		return nil
	}
	missing := chosen.uncached - ask.Parts[len(ask.Parts)-1].Tokens
	if missing <= chosen.fetch.tokens || engine.transfer(missing) >= float64(missing)/fleet.settings.PrefillRate ||
		float64(missing)*fleet.movePrice(engine) >= readCost(float64(missing)/fleet.settings.PrefillRate, 0, 1) {
		return nil
	}
	part := shared[len(shared)-1].ID
	var first *replica
	most := 0.0
	for _, holding := range held {
		if holding.replica == chosen.replica || !holding.lends(ask, now) {
			continue
		}
		if weight := rendezvous(part, holding.ID); first == nil || weight > most {
			first, most = holding.replica, weight
		}
	}
	return first
}

// judgeSource notes how much later than expected, in milliseconds, an answer began for
// which the replica fetched from another one. A source that has forgotten the parts, is cut
// off or busy counts as slower by that, so that reading is the cheaper way for a while.
func (placement *Placement) judgeSource(excess float64, now timekeeper.Instant) {
	if placement.source != nil {
		placement.source.lending.learn(excess, now)
	}
}
