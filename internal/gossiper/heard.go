package gossiper

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Digest is what a peer has told.
type Digest struct {
	// Address is where the peer is reached, by datagrams and by connections.
	Address string
	// Lifetime is how long it counts.
	Lifetime      timekeeper.Span
	InFlight      map[balancer.Key]balancer.InFlight
	Configuration uint64
	// StoreAnswered is when the store answered the peer last; zero means never.
	StoreAnswered timekeeper.Instant
	Stopping      bool
	Placements    []Placement
	Unreachable   []string
	Leaves        []Leave
	// LeaveAnnounced are incarnations of replicas that have said to the peer that they
	// leave.
	LeaveAnnounced []string
	Strikes        []Strike
	// SameDataCentre reports whether the peer stands in the same data centre.
	SameDataCentre bool
	// ListSummary is what the peer's last reading of the list of replicas found; nil where
	// it leaves the reading to others.
	ListSummary *follower.Summary
	// ListChanges are changes of the list that the peer has read.
	ListChanges []ReplicaUpdate
	// Cold are replicas that have turned cold, as the peer has read.
	Cold []ColdNotice
	// Evacuations are those in force at the peer; nil where it doesn't tell.
	Evacuations *balancer.Evacuations
}

// ReplicaUpdate is a change of the list of replicas.
type ReplicaUpdate = follower.Update[balancer.Replica]

// Placement is a prompt that a peer has sent to a replica.
type Placement struct {
	Replica balancer.Key
	Parts   []balancer.Part
}

// DataCentreKey returns the short name of a data centre in digests.
func DataCentreKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

const (
	// lifeRounds is how many intervals a digest counts.
	lifeRounds = 3
	// shortestLife lets a few datagrams in a row be lost.
	shortestLife = 800 * timekeeper.Millisecond
)

// heardOf decodes a digest. Lists that don't fit together are cut to the shorter.
func heardOf(digest *encoder.PeerDigest, address string, now timekeeper.Instant) Digest {
	heard := Digest{
		Address: address, Configuration: digest.Configuration, Stopping: digest.Stopping,
		Lifetime: min(max(shortestLife, lifeRounds*timekeeper.Span(digest.IntervalMs)), lifeRounds*longest),
		InFlight: make(map[balancer.Key]balancer.InFlight, len(digest.Replicas)), Unreachable: digest.Unreachable,
		LeaveAnnounced: digest.LeaveAnnounced,
	}
	if digest.StoreAgeMs > 0 {
		heard.StoreAnswered = now.Add(-timekeeper.Span(digest.StoreAgeMs))
	}
	for i := range min(len(digest.Replicas), len(digest.Running), len(digest.Unread)) {
		heard.InFlight[balancer.Key(digest.Replicas[i])] = balancer.InFlight{Running: int(digest.Running[i]), PendingTokens: int(digest.Unread[i])}
	}
	for _, placed := range digest.Placements {
		out := Placement{Replica: balancer.Key(placed.Replica)}
		for i := range min(len(placed.Parts), len(placed.Tokens)) {
			out.Parts = append(out.Parts, balancer.Part{ID: placed.Parts[i], Tokens: int(placed.Tokens[i])})
		}
		heard.Placements = append(heard.Placements, out)
	}
	for _, leave := range digest.Leaves {
		heard.Leaves = append(heard.Leaves, Leave{Replica: leave.Replica, Version: leave.Version})
	}
	if listing := digest.Listing; listing != nil && listing.AgeMs > 0 {
		heard.ListSummary = &follower.Summary{
			Version: follower.Version(listing.Version), Sum: listing.Sum, At: now.Add(-timekeeper.Span(listing.AgeMs)),
		}
	}
	for _, listed := range digest.Listed {
		heard.ListChanges = append(heard.ListChanges, newsOf(listed, now))
	}
	for _, cold := range digest.Cold {
		heard.Cold = append(heard.Cold, ColdNotice{
			Replica: balancer.Key(cold.Replica), Until: now.Add(timekeeper.Span(cold.WarmInMs)),
		})
	}
	if evacuations := digest.Evacuations; evacuations != nil && evacuations.Version > 0 {
		told := balancer.NewEvacuations(evacuations.Version, evacuations.DataCentres)
		heard.Evacuations = &told
	}
	for _, strike := range digest.Strikes {
		heard.Strikes = append(heard.Strikes, Strike{Request: strike.Request, Replica: strike.Replica})
	}
	return heard
}
