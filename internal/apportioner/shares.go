package apportioner

import (
	"math"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// levelInterval is the time between two computations of the level.
	levelInterval = 50 * timekeeper.Millisecond
	// maxCredit is how many places a team may have in credit, so that a pause isn't followed by a
	// burst of requests within the share.
	maxCredit = 4.0
	// teamLifetime is how long a team without arrivals is kept. Its demand has then decayed to a
	// thousandth or less.
	teamLifetime = 10 * timekeeper.Second
	// maxTeams limits the teams that are kept. The demand of teams beyond it counts in the total
	// only, and they are within their shares.
	maxTeams = 8192
)

// Team is a team with its weight. A weight of zero or less means 1.
type Team struct {
	Name   string
	Weight float64
}

func (team Team) weight() float64 {
	if team.Weight > 0 {
		return team.Weight
	}
	return 1
}

// teamState is what is known of a team that has sent requests to this entry.
type teamState struct {
	key    uint32
	weight float64
	demand rate
	// fraction is the fraction of the team's arrivals that is within its share.
	fraction, credit float64
	lastArrival      timekeeper.Instant
}

// peerDemand is the demand at a peer until its digest expires.
type peerDemand struct {
	demand Demand
	until  timekeeper.Instant
}

// Shares shares the places of one service among teams at one entry. It must be made by New.
type Shares struct {
	teams map[string]*teamState
	total rate
	peers map[string]peerDemand
	// demands are the demands over all entries by the key of the team, for the last level.
	demands map[uint32]*claim
	// computedAt is when the level was computed; zero means that it has to be computed.
	computedAt timekeeper.Instant
	level      float64
	overLevel  []string
	allDemand  float64
	portion    float64
	margin     margin
}

// New returns shares without demands.
func New() *Shares {
	return &Shares{teams: map[string]*teamState{}, peers: map[string]peerDemand{}, demands: map[uint32]*claim{}, level: math.Inf(1)}
}

// Arrive records a request of a team. Places is the time for which it takes a place, in seconds, so
// that the rate of arrivals adds up to a demand in places. Capacity is that of the service in places;
// zero means that the service isn't shared now, and all requests are within their shares.
func (shares *Shares) Arrive(team Team, places float64, capacity float64, now timekeeper.Instant) {
	shares.total.add(places, now)
	state := shares.state(team.Name)
	if state != nil {
		state.weight, state.lastArrival = team.weight(), now
		state.demand.add(places, now)
	}
	if now.Since(shares.computedAt) >= levelInterval || shares.computedAt == 0 {
		shares.dropIdle(now)
		shares.compute(capacity, now)
	}
	if state != nil {
		state.credit = min(maxCredit, state.credit+state.fraction)
	}
}

// state returns the state of a team, and adds one for a new team; nil if too many are kept.
func (shares *Shares) state(name string) *teamState {
	state, found := shares.teams[name]
	if found || len(shares.teams) >= maxTeams {
		return state
	}
	state = &teamState{key: KeyOf(name), fraction: 1}
	shares.teams[name] = state
	if sum, known := shares.demands[state.key]; known {
		state.fraction = sum.fraction(shares.level)
	}
	return state
}

func (shares *Shares) dropIdle(now timekeeper.Instant) {
	for name, state := range shares.teams {
		if now.Since(state.lastArrival) > teamLifetime {
			delete(shares.teams, name)
		}
	}
}

// Within reports whether the next place that a team takes is within its share: all its requests are,
// or it has a credit of at least one place.
func (shares *Shares) Within(team string) bool {
	state, found := shares.teams[team]
	return !found || state.fraction >= 1 || state.credit >= 1
}

// Spend takes a place from the credit of a team.
func (shares *Shares) Spend(team string) {
	if state, found := shares.teams[team]; found {
		state.credit = max(0, state.credit-1)
	}
}

// Blocked records that a request within its team's share found no place at once.
func (shares *Shares) Blocked(now timekeeper.Instant) { shares.margin.lower(now) }

// SetPeer sets the demand at a peer, which counts until an instant.
func (shares *Shares) SetPeer(peer string, demand Demand, until timekeeper.Instant) {
	shares.peers[peer] = peerDemand{demand: demand, until: until}
}

// Own returns the demand at this entry with the given number of largest teams.
func (shares *Shares) Own(most int, now timekeeper.Instant) Demand {
	largest := make([]*teamState, 0, most+1)
	for _, state := range shares.teams {
		at := len(largest)
		for at > 0 && largest[at-1].demand.now(now) < state.demand.now(now) {
			at--
		}
		if at == most {
			continue
		}
		largest = append(largest, nil)
		copy(largest[at+1:], largest[at:])
		largest[at] = state
		largest = largest[:min(most, len(largest))]
	}
	own := Demand{Total: shares.total.now(now), Teams: make(map[uint32]float64, len(largest))}
	for _, state := range largest {
		own.Teams[state.key] = state.demand.now(now)
	}
	return own
}

// OverPortion returns which part of the demand over the shares, at all entries, is at this entry.
func (shares *Shares) OverPortion() float64 { return shares.portion }

// Margin returns the fraction of the capacity that is shared.
func (shares *Shares) Margin(now timekeeper.Instant) float64 { return shares.margin.now(now) }

// Status describes the shares of a service for metrics and status pages.
type Status struct {
	// Demand is the demand at all entries, and Level the max-min fair level for a weight of 1, both
	// in places. The level is infinite while the capacity suffices for all.
	Demand, Level float64
	// Margin is the fraction of the capacity that is shared.
	Margin float64
	// Over are the teams known here whose demand exceeds their share.
	Over []string
}

// Status returns the last result.
func (shares *Shares) Status(now timekeeper.Instant) Status {
	return Status{Demand: shares.allDemand, Level: shares.level, Margin: shares.margin.now(now), Over: shares.overLevel}
}
