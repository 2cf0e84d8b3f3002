package gossiper

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Digest is the state that a peer has sent, decoded.
type Digest struct {
	// Address is the peer's address, for datagrams and for connections.
	Address string
	// Lifetime is how long the digest is valid.
	Lifetime timekeeper.Span
	InFlight map[balancer.Key]balancer.InFlight
	// ChecksHealth reports whether the peer checks the health of replicas if it is selected.
	ChecksHealth  bool
	Configuration uint64
	// StoreAnswered is when the store answered the peer last; zero means never.
	StoreAnswered timekeeper.Instant
	Stopping      bool
	Placements    []Placement
	Unreachable   []string
	Leaves        []Leave
	// LeaveAnnounced are incarnations of replicas that have announced to the peer that they
	// leave.
	LeaveAnnounced []string
	Strikes        []Strike
	// Crashes are replicas that crashed with parts in flight, Survived parts and requests whose crashes no
	// longer count, Tried those of which the peer has begun a trial, and Quarantined those that
	// are quarantined at the peer.
	Crashes         []Crash
	Survived, Tried []quarantiner.Feature
	Quarantined     []quarantiner.Quarantine
	// SameDataCentre reports whether the peer runs in this entry's data centre.
	SameDataCentre bool
	// ListSummary is the result of the peer's last read of the list of replicas; nil if the
	// digest carries none: the peer has not read the list recently, or its copy holds
	// lapsed rows.
	ListSummary *follower.Summary
	// ListChanges are changes of the list of replicas that the peer has read.
	ListChanges []ReplicaUpdate
	// Cold are replicas that have turned cold, according to the peer's copy of the list.
	Cold []ColdNotice
	// Evacuations are those in force at the peer; nil if the digest carries none.
	Evacuations *balancer.Evacuations
	// StoreEra is the newest era of the store that the peer knows; zero means none.
	StoreEra uint64
	// Retention is what the peer holds against the store since its return.
	Retention balancer.Retention
	// Demands are what callers of the peer ask of services that are contended there.
	Demands []balancer.ServiceDemand
	// Reservations are those that the peer has made lately.
	Reservations []reserver.Reservation
}

// ReplicaUpdate holds changes of the list of replicas.
type ReplicaUpdate = follower.Update[balancer.Replica]

// Placement is a prompt that a peer has sent to a replica.
type Placement struct {
	Replica balancer.Key
	Parts   []balancer.Part
}

// DataCentreKey returns the hash that stands for a data centre in digests.
func DataCentreKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

const (
	// lifetimeIntervals is the lifetime of a digest in intervals.
	lifetimeIntervals = 3
	// minLifetime is long enough that a few lost datagrams in a row do no harm.
	minLifetime = 800 * timekeeper.Millisecond
)

// decodeDigest decodes a digest. Parallel lists of different lengths are cut to the
// shortest. firstEra is the era of versions whose sender does not count eras.
func decodeDigest(message *encoder.PeerDigest, address string, firstEra uint64, now timekeeper.Instant) Digest {
	digest := Digest{
		Address: address, Configuration: message.Configuration, Stopping: message.Stopping,
		Lifetime: min(max(minLifetime, lifetimeIntervals*timekeeper.Span(message.IntervalMs)), lifetimeIntervals*maxInterval),
		InFlight: make(map[balancer.Key]balancer.InFlight, len(message.Replicas)), Unreachable: message.Unreachable,
		LeaveAnnounced: message.LeaveAnnounced, StoreEra: message.StoreEra, ChecksHealth: message.ChecksHealth,
		Demands: decodeDemands(message.Demands), Reservations: decodeReservations(message.Reservations, now),
	}
	if message.StoreAgeMs > 0 {
		digest.StoreAnswered = now.Add(-timekeeper.Span(message.StoreAgeMs))
	}
	for i := range min(len(message.Replicas), len(message.Running), len(message.Unread)) {
		held := balancer.InFlight{Running: int(message.Running[i]), PendingTokens: int(message.Unread[i])}
		if i < len(message.Rates) {
			held.Rate = int(message.Rates[i])
		}
		digest.InFlight[balancer.Key(message.Replicas[i])] = held
	}
	for _, placed := range message.Placements {
		placement := Placement{Replica: balancer.Key(placed.Replica)}
		for i := range min(len(placed.Parts), len(placed.Tokens)) {
			placement.Parts = append(placement.Parts, balancer.Part{ID: placed.Parts[i], Tokens: int(placed.Tokens[i])})
		}
		digest.Placements = append(digest.Placements, placement)
	}
	for _, leave := range message.Leaves {
		digest.Leaves = append(digest.Leaves, Leave{Replica: leave.Replica, Version: versionOf(leave.Era, leave.Version).InEra(firstEra)})
	}
	if summary := message.Listing; summary != nil && summary.AgeMs > 0 {
		digest.ListSummary = &follower.Summary{
			Version: versionOf(summary.Era, summary.Version).InEra(firstEra), Sum: summary.Sum, At: now.Add(-timekeeper.Span(summary.AgeMs)),
		}
	}
	for _, changes := range message.Listed {
		digest.ListChanges = append(digest.ListChanges, decodeUpdate(changes, firstEra, now))
	}
	for _, cold := range message.Cold {
		digest.Cold = append(digest.Cold, ColdNotice{
			Replica: balancer.Key(cold.Replica), Until: now.Add(timekeeper.Span(cold.WarmInMs)),
		})
	}
	if evacuations := message.Evacuations; evacuations != nil && evacuations.Version > 0 {
		inForce := balancer.NewEvacuations(versionOf(evacuations.Era, evacuations.Version).InEra(firstEra), evacuations.DataCentres)
		digest.Evacuations = &inForce
	}
	for _, strike := range message.Strikes {
		digest.Strikes = append(digest.Strikes, Strike{Request: strike.Request, Replica: strike.Replica})
	}
	decodeCrashes(&digest, message, now)
	if held := message.Retention; held != nil {
		digest.Retention = balancer.Retention{
			Left: timekeeper.Span(held.LeftMs), Incarnations: held.Incarnations, DataCentres: held.DataCentres,
		}
	}
	return digest
}

func versionOf(era, number uint64) sequencer.Version {
	return sequencer.Version{Era: era, Number: number}
}

// encodeRetention returns nil if nothing is held.
func encodeRetention(held balancer.Retention) *encoder.PeerRetention {
	if len(held.Incarnations)+len(held.DataCentres) == 0 {
		return nil
	}
	return &encoder.PeerRetention{
		LeftMs: uint32(held.Left), Incarnations: held.Incarnations[:min(len(held.Incarnations), maxUpdates)], DataCentres: held.DataCentres,
	}
}

// sameContent reports whether two digests have the same content.
func sameContent(last, next *encoder.PeerDigest) bool {
	return last != nil && last.Configuration == next.Configuration && last.Stopping == next.Stopping && last.StoreEra == next.StoreEra &&
		last.StoreFailing == next.StoreFailing && sameDataCentres(last.Evacuations, next.Evacuations) &&
		slices.Equal(last.Replicas, next.Replicas) && slices.Equal(last.Running, next.Running) &&
		slices.Equal(last.Unread, next.Unread) && slices.Equal(last.Rates, next.Rates) && last.ChecksHealth == next.ChecksHealth &&
		len(last.Quarantined) == len(next.Quarantined) && len(last.QuarantinedRequests) == len(next.QuarantinedRequests) &&
		sameServices(last.Demands, next.Demands)
}

// sameDataCentres reports whether the same data centres are evacuated; versions may differ.
func sameDataCentres(one, other *encoder.PeerEvacuations) bool {
	return (one == nil) == (other == nil) && slices.Equal(one.GetDataCentres(), other.GetDataCentres())
}
