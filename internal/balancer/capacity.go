package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// holdingHalfLife is the half-life of the weights in the mean of holding times.
	holdingHalfLife = 5 * timekeeper.Second
	// defaultPlainHolding and defaultEngineHolding are assumed while no request of a service has
	// ended at a replica with a free slot.
	defaultPlainHolding  = 50 * timekeeper.Millisecond
	defaultEngineHolding = timekeeper.Second
)

// decayingMean is a mean of observations in which recent ones weigh more.
type decayingMean struct{ sum, count decaying }

func (mean *decayingMean) observe(value float64, now timekeeper.Instant) {
	mean.sum.add(value, holdingHalfLife, now)
	mean.count.add(1, holdingHalfLife, now)
}

// value returns the mean, and false if there is no observation.
func (mean *decayingMean) value() (float64, bool) {
	if mean.count.value == 0 {
		return 0, false
	}
	return mean.sum.value / mean.count.value, true
}

// holdingTimes are the times for which requests of a service take a slot of a replica, by rank and
// for all ranks together.
type holdingTimes struct {
	byRank map[int]*decayingMean
	all    decayingMean
}

// observeHolding records how long a request that has ended took its slot. Requests that may have
// waited at their replica aren't counted.
func (fleet *Fleet) observeHolding(placement *Placement, now timekeeper.Instant) {
	if placement.Replica.Slots > 0 && placement.Load >= placement.Replica.Slots {
		return
	}
	if member, found := fleet.replicaOf(placement); found && member.reportedAt != 0 && now.Since(member.reportedAt) <= reportLifetime && member.report.Waiting > 0 {
		return
	}
	queue := fleet.queue(placement.Replica.Service)
	times := &queue.holding
	if times.byRank == nil {
		times.byRank = map[int]*decayingMean{}
	}
	took := float64(now.Since(placement.chosenAt))
	getOrCreate(times.byRank, placement.rank).observe(took, now)
	times.all.observe(took, now)
}

// HoldingTime returns for how long a request of a rank takes a slot of a replica of a service. It is
// at least a millisecond.
func (fleet *Fleet) HoldingTime(service string, rank int) timekeeper.Span {
	times := &fleet.queue(service).holding
	if mean, found := times.byRank[rank]; found {
		if value, known := mean.value(); known {
			return max(1, roundToSpan(value))
		}
	}
	if value, known := times.all.value(); known {
		return max(1, roundToSpan(value))
	}
	if fleet.engines[service] != (Engine{}) {
		return defaultEngineHolding
	}
	return defaultPlainHolding
}

// Capacity returns the number of requests that the open replicas of a service process at once; zero
// if one of them doesn't state its slots.
func (fleet *Fleet) Capacity(service string, now timekeeper.Instant) (places float64) {
	for _, member := range fleet.services[service] {
		if fleet.eligibility(member, now).Access != Open {
			continue
		}
		if member.Slots <= 0 {
			return 0
		}
		places += float64(member.Slots)
	}
	return places
}
