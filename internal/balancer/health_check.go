package balancer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// checkersPerReplica is how many entries check a replica, each as often as is needed, so
	// that one of them may be killed, frozen or cut off.
	checkersPerReplica = 2
	// checkShare is the share of the time in which a replica gets what it tolerates cold that
	// lies between two checks. The rest is for the answer and for telling the other entries.
	checkShare = 0.5
	// checkedShare is the share of what a replica tolerates cold above which it is checked: the
	// rate is an estimate, and arrivals come in clusters.
	checkedShare = 0.9
	// minCheckInterval limits the checks of a replica that serves hundreds of requests per
	// second.
	minCheckInterval = 25 * timekeeper.Millisecond
)

// HealthCheck is a check of a replica by this entry.
type HealthCheck struct {
	Replica Replica
	// Path is the path of the check.
	Path string
	// Interval is the time from the start of the check to that of the next one.
	Interval timekeeper.Span
	// Rate is how many requests per second all entries send to the replica.
	Rate float64
}

// ChecksHealth reports whether this entry may be one of those that check a replica: it knows
// the other entries.
func (fleet *Fleet) ChecksHealth() bool { return fleet.entries.generation != 0 }

// StartHealthChecks returns the first check of each replica that this entry must check from now
// on. NextHealthCheck must follow each check.
//
// A replica that turns cold says so in its row a heartbeat later. While it gets about as many
// requests as it tolerates cold, that may be too late, so a few entries ask it. Others are not
// checked, because checks are priced and take a slot.
func (fleet *Fleet) StartHealthChecks(now timekeeper.Instant) []HealthCheck {
	if !fleet.ChecksHealth() {
		return nil
	}
	fleet.dropExpired(now)
	var started []HealthCheck
	for service, warmUp := range fleet.warmUps {
		if !warmUp.checkable() {
			continue
		}
		for _, member := range fleet.services[service] {
			if member.checked {
				continue
			}
			if check, due := fleet.healthCheck(member, warmUp, now); due {
				member.checked = true
				started = append(started, check)
			}
		}
	}
	return started
}

// NextHealthCheck returns the check that follows another one of the same replica; false if this
// entry stops checking it.
func (fleet *Fleet) NextHealthCheck(last HealthCheck, now timekeeper.Instant) (HealthCheck, bool) {
	member, found := fleet.keys[last.Replica.Key()]
	if !found {
		return HealthCheck{}, false
	}
	fleet.dropExpired(now)
	check, due := fleet.healthCheck(member, fleet.warmUps[member.Service], now)
	member.checked = due
	return check, due
}

// checkable reports whether replicas of the service have a limit in the cold, and say when they are.
func (warmUp WarmUp) checkable() bool { return warmUp.Rate > 0 && warmUp.HealthPath != "" }

// healthCheck returns a check of a replica, and whether this entry must check the replica now.
func (fleet *Fleet) healthCheck(member *replica, warmUp WarmUp, now timekeeper.Instant) (HealthCheck, bool) {
	rate, tolerated := fleet.rate(member, now), fleet.settings.allowedCold(warmUp)
	if !warmUp.checkable() || rate <= checkedShare*tolerated || fleet.eligibility(member, now).Access != Open || !fleet.isChecker(member.key) {
		return HealthCheck{}, false
	}
	interval := timekeeper.Span(checkShare * tolerated / rate * float64(timekeeper.Second))
	return HealthCheck{Replica: member.Replica, Path: warmUp.HealthPath, Interval: max(interval, minCheckInterval), Rate: rate}, true
}

// isChecker reports whether this entry is one of those that check a replica: rendezvous hashing
// selects them among the entries that can, according to their last digests.
func (fleet *Fleet) isChecker(key Key) bool {
	own, heavier := entryWeight(fleet.entries.own, key), 0
	for peer, digest := range fleet.peers {
		if digest.checksHealth && entryWeight(xxhash.Sum64String(peer), key) > own {
			heavier++
		}
	}
	return heavier < checkersPerReplica
}

// ReportCold records that an incarnation of a replica says in an answer that it stays cold for a
// span. It returns when the replica is warm, and reports whether that is new.
//
// What it says counts for the warm-up of its service at most: a replica that is wrong about
// itself gets what it tolerates cold meanwhile, and is checked again after it.
func (fleet *Fleet) ReportCold(key Key, coldFor timekeeper.Span, now timekeeper.Instant) (timekeeper.Instant, bool) {
	member, found := fleet.keys[key]
	if !found {
		return 0, false
	}
	if longest := fleet.warmUps[member.Service].Span; longest > 0 {
		coldFor = min(coldFor, longest)
	}
	until := now.Add(coldFor)
	return until, member.markCold(until)
}
