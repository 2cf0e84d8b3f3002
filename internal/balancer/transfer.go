package balancer

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// transferSetup is the fixed time of a transfer, in milliseconds: a round trip between
	// engines, and making room for the data.
	transferSetup = 2.0
	// DefaultTransferPrice is how many prefilled prompt tokens cost operators as much as the
	// transfer of a gigabyte between engines. With it prefill is cheaper above some 520 KB a
	// token while engines have slack, and above 870 KB if they are full.
	DefaultTransferPrice = 2300.0
	// maxSourceExcess is the excess latency of transfers, in milliseconds, from which a source
	// is left out as if it had failed.
	maxSourceExcess = 300.0
)

// estimate is a replica with the estimates that a choice is based on.
type estimate struct {
	*replica
	// shared is how many tokens of the shared parts the replica has cached, starting at the
	// root, and uncached how many of the whole prompt it lacks.
	shared, uncached int
	// peers is what peers have in flight at the replica, load the estimated number of requests
	// that it holds, slowdown how many times as long as usual work takes there, and engineWait how
	// long the prompt would wait there, in milliseconds.
	peers                InFlight
	load                 int
	slowdown, engineWait float64
}

// source is an engine that another one fetches from.
type source struct {
	*replica
	tokens int
}

// sources are the engines with the longest cached part of a prompt, which other engines may
// fetch it from, and the parameters for comparing transfer and prefill.
type sources struct {
	engine Engine
	// rate is how many tokens an engine prefills in a millisecond.
	rate float64
	best []source
	// price is what the transfer of a token costs beside its time, in milliseconds.
	price float64
	// weight is the weight of time.
	weight timeWeight
}

// findSources returns the engines that may transfer parts of a prompt. A leaving engine is
// still a source. Engines that are unreachable, have recently failed or delayed earlier
// transfers are left out.
func (fleet *Fleet) findSources(request Request, estimates []estimate, now timekeeper.Instant) sources {
	engine := fleet.engines[request.Service]
	found := sources{
		engine: engine, rate: fleet.settings.PrefillRate, price: fleet.transferPrice(engine), weight: fleet.timeWeight(request, estimates, now),
	}
	if !engine.canTransfer() {
		return found
	}
	longest := 0
	for _, estimate := range estimates {
		if estimate.shared == 0 || estimate.shared < longest || !estimate.canBeSource(request, now) {
			continue
		}
		if estimate.shared > longest {
			longest, found.best = estimate.shared, found.best[:0]
		}
		found.best = append(found.best, source{replica: estimate.replica, tokens: estimate.shared})
	}
	return found
}

// canBeSource reports whether a replica may be named as a source.
func (member *replica) canBeSource(request Request, now timekeeper.Instant) bool {
	return member.health.admits(now) && member.health.penalty(now) < float64(failurePenalty) &&
		member.fetchExcess.excess.now(excessHalfLife, now) < maxSourceExcess && !slices.Contains(request.Excluded, member.ID)
}

// transferPrice returns what operators pay for the transfer of a token, as the time in which an
// engine prefills tokens of the same price.
func (fleet *Fleet) transferPrice(engine Engine) float64 {
	const gigabyte = 1e9
	return priceWeight * fleet.settings.TransferPrice * engine.TokenBytes / gigabyte / fleet.settings.PrefillRate
}

// fetch is a planned transfer of cached prompt parts from another engine.
type fetch struct {
	from *replica
	// tokens are transferred in time milliseconds. The links are busy for linkTime of it; price
	// is what operators pay, as time.
	tokens                int
	time, linkTime, price float64
}

// fetchFor returns the fastest way for an engine that has some tokens of a prompt to fetch the
// rest; from is nil if prefill is cheaper or as fast.
func (sources sources) fetchFor(member estimate, now timekeeper.Instant) fetch {
	var chosen fetch
	for _, candidate := range sources.best {
		tokens := candidate.tokens - member.shared
		if tokens <= 0 || candidate.replica == member.replica {
			continue
		}
		linkTime := sources.engine.transferTime(tokens)
		time := linkTime + linkWait(now, member.replica, candidate.replica) + max(0, candidate.fetchExcess.excess.now(excessHalfLife, now))
		if chosen.from == nil || time < chosen.time {
			chosen = fetch{from: candidate.replica, tokens: tokens, time: time, linkTime: linkTime}
		}
	}
	if chosen.from == nil {
		return fetch{}
	}
	chosen.price = sources.price * float64(chosen.tokens)
	prefill := member.slowdown * float64(chosen.tokens) / sources.rate
	weight := sources.weight.at(prefill)
	if chosen.time >= prefill || chosen.price+weight*chosen.time >= prefillCost(prefill, member.load, weight) {
		return fetch{}
	}
	return chosen
}

// linkWait returns how long this entry's transfers keep the links of two engines busy, in
// milliseconds.
func linkWait(now timekeeper.Instant, one, other *replica) float64 {
	return float64(max(0, max(one.linkFreeAt, other.linkFreeAt).Since(now)))
}

// reserveLinks marks the links of both engines as busy with the transfer.
func (fetch fetch) reserveLinks(to *replica, now timekeeper.Instant) {
	free := now.Add(roundToSpan(linkWait(now, to, fetch.from) + fetch.linkTime))
	to.linkFreeAt, fetch.from.linkFreeAt = free, free
}

// withoutFetch returns the candidate as one that prefills all tokens that it lacks.
func (fleet *Fleet) withoutFetch(c candidate) candidate {
	c.uncached += c.fetch.tokens
	c.expected += c.slowdown*float64(c.fetch.tokens)/fleet.settings.PrefillRate - c.fetch.time
	c.fetch = fetch{}
	return c
}

// guessSource returns an engine that may have the prompt although this entry doesn't know it:
// the first in the preference order beside the chosen engine. It does so if more than half of
// the missing tokens would have to be prefilled, and not only if no source is known: a root is
// shared by many prompts, so nearly always some engine is known to have that much. Restarted
// entries know nothing; a source that doesn't have the prompt costs the setup of a transfer.
func (fleet *Fleet) guessSource(request Request, chosen candidate, estimates []estimate, now timekeeper.Instant) *replica {
	shared := SharedParts(request.Parts)
	engine := fleet.engines[request.Service]
	if len(shared) == 0 || !engine.canTransfer() {
		return nil
	}
	missing := chosen.uncached - request.Parts[len(request.Parts)-1].Tokens
	prefill := chosen.slowdown * float64(missing) / fleet.settings.PrefillRate
	if missing <= chosen.fetch.tokens || engine.transferTime(missing) >= prefill ||
		float64(missing)*fleet.transferPrice(engine) >= prefillCost(prefill, 0, 1) {
		return nil
	}
	part := shared[len(shared)-1].ID
	var first *replica
	highest := 0.0
	for _, estimate := range estimates {
		if estimate.replica == chosen.replica || !estimate.canBeSource(request, now) {
			continue
		}
		if weight := rendezvousWeight(part, estimate.ID); first == nil || weight > highest {
			first, highest = estimate.replica, weight
		}
	}
	return first
}

// recordSourceExcess records how much later than expected, in milliseconds, an answer started
// for which the replica fetched from a source. A source that has evicted the parts, is cut off
// or is busy counts as slower by that time, so that prefill is cheaper for a while.
func (placement *Placement) recordSourceExcess(excess float64, now timekeeper.Instant) {
	if placement.source != nil {
		placement.source.fetchExcess.observe(excess, now)
	}
}
