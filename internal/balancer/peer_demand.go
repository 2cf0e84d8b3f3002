package balancer

import (
	"maps"

	"github.com/trefoilseam/trefoilseam/internal/apportioner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ServiceDemand is what callers of one entry ask of a contended service, for its peers.
type ServiceDemand struct {
	// Service is the key of the service; see apportioner.KeyOf.
	Service uint32
	Demand  apportioner.Demand
	// Blocked is how many requests found no free place in the last second, and Usual the usual
	// demand in places; see Fleet.Demands.
	Blocked, Usual float64
}

// peerDemands is what a peer's last digest said of contended services.
type peerDemands struct {
	services []ServiceDemand
	// until is when the digest expires.
	until timekeeper.Instant
}

// SetPeerDemands applies what a digest of a peer says of contended services, with the digest's
// lifetime.
func (fleet *Fleet) SetPeerDemands(peer string, services []ServiceDemand, lifetime timekeeper.Span, now timekeeper.Instant) {
	if len(services) == 0 {
		delete(fleet.peerDemands, peer)
		return
	}
	fleet.peerDemands[peer] = peerDemands{services: services, until: now.Add(lifetime)}
}

// peerDemandsOf returns the demands for a service that peers have sent, by peer, and drops expired ones.
func (fleet *Fleet) peerDemandsOf(service string, now timekeeper.Instant) map[string]ServiceDemand {
	maps.DeleteFunc(fleet.peerDemands, func(_ string, held peerDemands) bool { return now > held.until })
	key := apportioner.KeyOf(service)
	found := map[string]ServiceDemand{}
	for peer, held := range fleet.peerDemands {
		for _, demand := range held.services {
			if demand.Service == key {
				found[peer] = demand
			}
		}
	}
	return found
}

// Demands returns what callers of this entry ask of contended services, for a digest to the given
// number of peers. Nil means that no service is contended.
//
// Blocked is how many requests of the last second found no free place here, and Usual the demand in
// places in which bursts don't count.
func (fleet *Fleet) Demands(peers int, now timekeeper.Instant) (demands []ServiceDemand) {
	for service, queue := range fleet.queues {
		if !fleet.isContended(service, queue, now) {
			continue
		}
		demand := ServiceDemand{Service: apportioner.KeyOf(service), Blocked: fleet.blockedOf(service, now)}
		demand.Usual, _ = fleet.usualOf(service, now)
		if queue.shares.teams != nil {
			demand.Demand = queue.shares.teams.Own(teamsInDigest(peers), now)
		}
		demands = append(demands, demand)
	}
	return demands
}

// isContended reports whether requests of a service find no free place here or at a peer.
func (fleet *Fleet) isContended(service string, queue *serviceQueue, now timekeeper.Instant) bool {
	if fleet.settings.TeamShares {
		fleet.refreshShares(service, queue, now)
		return queue.shares.contended
	}
	blocked := fleet.blockedOf(service, now)
	for _, demand := range fleet.peerDemandsOf(service, now) {
		blocked += demand.Blocked
	}
	return fleet.settings.ReturnTimes && blocked > 0
}

// teamsInDigest returns how many teams of a service a digest names. All peers together get a digest
// from each entry, so more peers get shorter ones.
func teamsInDigest(peers int) int {
	switch {
	case peers <= 32:
		return 8
	case peers <= 128:
		return 4
	}
	return 2
}
