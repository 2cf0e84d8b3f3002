package apportioner

import "github.com/cespare/xxhash/v2"

// Demand is the load that callers of one entry offer to a service, in places: the rate of arrivals
// times the time for which a request takes a place.
type Demand struct {
	// Total is the demand of all teams.
	Total float64
	// Teams holds the largest demands, by the key of the team.
	Teams map[uint32]float64
}

// KeyOf returns the key of a team or service in messages between entries.
func KeyOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
