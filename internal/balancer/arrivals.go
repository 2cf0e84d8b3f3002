package balancer

import (
	"math"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// arrivalHalfLife is the half-life of the arrivals that make up the rate of a replica.
	arrivalHalfLife = 500 * timekeeper.Millisecond
	// RateScale is how many units of InFlight.Rate are one request per second.
	RateScale = 10
	// reportedRateShare is the share of an even part of the rate that a cold replica tolerates
	// above which an entry reports its rate. What entries leave out is less than this share of
	// the tolerated rate, and digests stay short while replicas get little.
	reportedRateShare = 0.25
)

// ownRate returns how many requests per second this entry has sent to a replica of late.
func (member *replica) ownRate(now timekeeper.Instant) float64 {
	perSecond := math.Ln2 * float64(timekeeper.Second) / float64(arrivalHalfLife)
	return perSecond * member.arrivals.now(arrivalHalfLife, now)
}

// rate returns how many requests per second all entries send to a replica, as far as peers
// reported their part.
func (fleet *Fleet) rate(member *replica, now timekeeper.Instant) float64 {
	return member.ownRate(now) + float64(fleet.inFlightOfPeers(member.key).Rate)/RateScale
}

// toleratedCold returns how many requests per second all entries together may send to a cold
// replica; zero means that its service sets no limit.
func (fleet *Fleet) toleratedCold(member *replica) float64 {
	warmUp := fleet.warmUps[member.Service]
	if warmUp.Rate <= 0 {
		return 0
	}
	return fleet.settings.allowedCold(warmUp)
}

// reportedRate returns this entry's rate at a replica for its peers, in units of 1/RateScale
// requests per second; zero if they need not know it.
func (fleet *Fleet) reportedRate(member *replica, now timekeeper.Instant) int {
	tolerated, own := fleet.toleratedCold(member), member.ownRate(now)
	if tolerated == 0 || own*float64(fleet.entries.count()) < reportedRateShare*tolerated {
		return 0
	}
	return int(math.Ceil(own * RateScale))
}
