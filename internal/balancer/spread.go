package balancer

// spread draws a replica of a contended plain service at random, with a probability in proportion to its
// slots. Replicas with less load than the mean get so much more that half the difference has gone when
// the next digests arrive. If all entries chose the replica that had the fewest requests in the last
// digests, it would fill up to the point where it refuses, while others stood idle.
func (fleet *Fleet) spread(candidates []candidate, request Request) candidate {
	mean := 0.0
	for _, c := range candidates {
		mean += c.perSlot() / float64(len(candidates))
	}
	turnover := float64(fleet.digestInterval()) / float64(fleet.HoldingTime(request.Service, 0))
	weights, total := make([]float64, len(candidates)), 0.0
	for i, c := range candidates {
		weights[i] = max(minSpread, 1-spreadGain*(c.perSlot()-mean)/turnover) * float64(c.Slots)
		total += weights[i]
	}
	drawn := fleet.random.Float64() * total
	for i, weight := range weights {
		if drawn -= weight; drawn < 0 {
			return candidates[i]
		}
	}
	return candidates[len(candidates)-1]
}

// perSlot returns the load of a plain replica for each slot. What its cost holds beside the load counts
// as waiting requests.
func (c candidate) perSlot() float64 {
	other := c.cost - c.expected - float64(c.load)*plainRequestCost
	return (float64(c.load) + other/plainWaitCost) / float64(c.Slots)
}

const (
	// spreadGain is the part of a difference in load that is evened out in the age of a digest.
	spreadGain = 0.5
	// minSpread is the least part of its usual requests that a replica gets.
	minSpread = 0.1
)
