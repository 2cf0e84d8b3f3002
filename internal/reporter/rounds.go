package reporter

import (
	"context"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/admitter"
	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// deadPeerOneIn is how often an agent's peer may be a dead or leaving replica, one
	// round in 8: often enough to notice that a partition has healed, rarely enough
	// that dead replicas cost little.
	deadPeerOneIn = 8
	// otherAgentOneIn is how often an entry queries another agent than its contact,
	// one round in 4, so that it doesn't depend on a contact that is itself
	// partitioned.
	otherAgentOneIn = 4
	// fullAnswerLimit is the size of a first answer, which contains a whole table.
	fullAnswerLimit = maxAnswerSize
)

// errOtherService means that an address now belongs to an agent of another service.
var errOtherService = eris.New("the address belongs to an agent of another service")

// agentRound exchanges digests with one peer of the agent's service.
func (exchanger *Exchanger) agentRound(ctx context.Context) {
	own := exchanger.self()
	service := own.GetService()
	query := exchanger.query(exchanger.limit)
	query.Recent = true
	ask := &encoder.DigestAsk{
		Asker: exchanger.name, Service: service, Revision: own.GetRevision(), Wanted: exchanger.takeUnknown(),
	}
	var peer Row
	exchanger.view.withTable(service, func(table *Table, now timekeeper.Instant) {
		table.Merge(now, own)
		ask.Own = table.Pack(now, query)
		peer = exchanger.pickPeer(table)
	})
	address := exchanger.addressOf(peer)
	if address == "" {
		return
	}
	answer, err := exchanger.ask(ctx, address, budgeter.Digest, ask)
	exchanger.view.withTable(service, func(table *Table, now timekeeper.Instant) {
		if err != nil {
			table.RecordFailure(now, peer.Name)
			return
		}
		table.RecordAnswer(peer.Name)
		exchanger.addUnknown(table.Unpack(now, answer))
	})
}

// Mean returns the known load of the agent's whole service. The agent's own part
// is its current load, not that of the last round: otherwise load that arrived
// since would count for the agent but not in the mean.
func (exchanger *Exchanger) Mean() admitter.Mean {
	own := exchanger.self()
	var mean admitter.Mean
	exchanger.view.withTable(own.GetService(), func(table *Table, now timekeeper.Instant) {
		table.Merge(now, own)
		mean = table.Mean(now)
	})
	return mean
}

// addressOf returns the address of a peer, or a random seed when there is no peer.
func (exchanger *Exchanger) addressOf(peer Row) string {
	if peer.Name != "" {
		return peer.DialAddress()
	}
	if len(exchanger.seeds) == 0 {
		return ""
	}
	return exchanger.seeds[exchanger.random(int64(len(exchanger.seeds)))]
}

// pickPeer returns a random peer, in most rounds one that is neither dead nor
// leaving. The view's lock must be held.
func (exchanger *Exchanger) pickPeer(table *Table) Row {
	random := exchanger.view.random
	includeAll := random.IntN(deadPeerOneIn) == 0
	var candidates []Row
	for _, row := range table.Rows() {
		if row.Name != exchanger.name && row.DialAddress() != "" && (includeAll || !row.dead && !row.leaving()) {
			candidates = append(candidates, row)
		}
	}
	if len(candidates) == 0 {
		return Row{}
	}
	return candidates[random.IntN(len(candidates))]
}

// entryRound queries one agent of each service for changes.
func (exchanger *Exchanger) entryRound(ctx context.Context) {
	services := exchanger.view.Services()
	if len(services) == 0 {
		exchanger.querySeeds(ctx)
		return
	}
	var asks sync.WaitGroup
	for _, service := range services {
		asks.Go(func() {
			if failed := exchanger.queryService(ctx, service, len(services), ""); failed != "" {
				// The contact failed and may be the replica that leaves. Another agent
				// is queried in the same round, since a leave must be known within two
				// seconds.
				exchanger.queryService(ctx, service, len(services), failed)
			}
		})
	}
	asks.Wait()
}

// queryService queries the contact of a service or, if avoid is set, an agent other
// than avoid. It returns the agent's name if the query failed, else "".
func (exchanger *Exchanger) queryService(ctx context.Context, service string, services int, avoid string) string {
	var peer Row
	exchanger.view.withTable(service, func(table *Table, _ timekeeper.Instant) { peer = exchanger.pickContact(table, avoid) })
	if peer.Name == "" {
		exchanger.querySeeds(ctx)
		return ""
	}
	exchanger.mu.Lock()
	position := exchanger.positions[peer.Name]
	quiet := exchanger.clock.Now().Since(exchanger.answeredAt[service])
	exchanger.mu.Unlock()
	query := exchanger.query(min(exchanger.limit, exchanger.loadLimit/services))
	ask := &encoder.DigestAsk{
		Asker: exchanger.name, Service: service, Known: position.version, Wanted: exchanger.takeUnknown(), Limit: uint32(query.Limit),
	}
	// A new contact is asked only for the updates of the last seconds, unless no agent
	// of the service has answered for so long that older updates may be missing.
	ask.Recent = position.version == 0 && quiet < updateLifetime/2
	if position.version == 0 && !ask.GetRecent() {
		ask.Limit = fullAnswerLimit
	}
	answer, err := exchanger.ask(ctx, peer.DialAddress(), budgeter.Digest, ask)
	if err == nil && answer.GetIncarnation() != position.incarnation && position.version != 0 {
		// A new incarnation of the agent restarts its version numbers.
		answer.Version = 0
	}
	if err == nil && answer.GetService() != service {
		err = errOtherService
	}
	exchanger.recordAnswer(service, peer, answer, err)
	if err != nil {
		return peer.Name
	}
	return ""
}

// recordAnswer merges an answer, or records a failure and drops a contact that failed
// repeatedly.
func (exchanger *Exchanger) recordAnswer(service string, peer Row, answer *encoder.Digests, err error) {
	dropped := false
	exchanger.view.withTable(service, func(table *Table, now timekeeper.Instant) {
		if err != nil {
			// A contact that fails once is queried again in the next round, to
			// distinguish a slow one from a dead one.
			table.RecordFailure(now, peer.Name)
			dropped = table.rows[peer.Name] == nil || table.rows[peer.Name].failures >= confirmingFailures
			return
		}
		table.RecordAnswer(peer.Name)
		exchanger.addUnknown(table.Unpack(now, answer))
	})
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	if err != nil {
		if dropped {
			delete(exchanger.contacts, service)
			delete(exchanger.positions, peer.Name)
		}
		return
	}
	exchanger.answeredAt[service] = exchanger.clock.Now()
	exchanger.positions[peer.Name] = tablePosition{incarnation: answer.GetIncarnation(), version: answer.GetVersion()}
}

// pickContact returns the agent to query about a service: the current contact or one
// with a single failure, whichever comes first by name, else a random agent, of the
// entry's own data centre if it has one. In one round of otherAgentOneIn a random
// agent takes the contact's place, one of another data centre if there is one. If
// avoid is set, it isn't picked, and a single failure doesn't matter. The view's lock
// must be held.
func (exchanger *Exchanger) pickContact(table *Table, avoid string) Row {
	random := exchanger.view.random
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	current := exchanger.contacts[table.service]
	otherAgent := random.IntN(otherAgentOneIn) == 0
	var near, far []Row
	for _, row := range table.Live() {
		if row.Name == avoid {
			continue
		}
		if row.failures > 0 && row.failures < confirmingFailures && avoid == "" {
			// The next round confirms or clears a single failure.
			return row
		}
		if row.Name == current.name && !otherAgent {
			return row
		}
		if row.Site == exchanger.site {
			near = append(near, row)
		} else {
			far = append(far, row)
		}
	}
	candidates := near
	if len(near) == 0 || otherAgent && len(far) > 0 {
		candidates = far
	}
	if len(candidates) == 0 {
		return Row{}
	}
	picked := candidates[random.IntN(len(candidates))]
	if !otherAgent && avoid == "" {
		exchanger.contacts[table.service] = contact{name: picked.Name, site: picked.Site}
	}
	return picked
}

// querySeeds queries all seeds, whichever service they belong to, when there is no
// agent to query, as in an entry that starts while the instance list can't be read.
func (exchanger *Exchanger) querySeeds(ctx context.Context) {
	for _, address := range exchanger.seeds {
		answer, err := exchanger.ask(ctx, address, budgeter.Digest, &encoder.DigestAsk{Asker: exchanger.name, Limit: fullAnswerLimit})
		if err != nil {
			continue
		}
		exchanger.view.withTable(answer.GetService(), func(table *Table, now timekeeper.Instant) { table.Unpack(now, answer) })
	}
}

// Announce notifies every peer immediately that this agent leaves. The budget
// doesn't limit it, since it happens once per process.
func (exchanger *Exchanger) Announce(ctx context.Context) {
	own := exchanger.self()
	var peers []Row
	exchanger.view.withTable(own.GetService(), func(table *Table, now timekeeper.Instant) {
		table.Merge(now, own)
		peers = table.Live()
	})
	ask := &encoder.DigestAsk{
		Asker: exchanger.name, Service: own.GetService(), Own: &encoder.Digests{Digests: []*encoder.Digest{own}}, Limit: 1,
	}
	queue := make(chan Row, len(peers))
	for _, peer := range peers {
		queue <- peer
	}
	close(queue)
	var workers sync.WaitGroup
	for range min(announceWorkers, len(peers)) {
		workers.Go(func() {
			for peer := range queue {
				_, _ = exchanger.ask(ctx, peer.DialAddress(), budgeter.Notice, ask)
			}
		})
	}
	workers.Wait()
}
