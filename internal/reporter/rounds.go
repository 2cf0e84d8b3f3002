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
	// strayOneIn is how often an agent tries a replica that it holds dead: often
	// enough that a healed cut is noticed, rare enough that the dead cost little.
	strayOneIn = 8
	// otherOneIn is how often an entry asks another agent than its contact, so
	// that a contact that is itself cut off doesn't stay the only witness.
	otherOneIn = 4
	// fullAnswer is the size of a first answer, which brings a whole table.
	fullAnswer = maxAnswer
)

// errOtherService says that an address now belongs to an agent of another service.
var errOtherService = eris.New("the agent is of another service")

// agentRound exchanges digests with one peer of the agent's service.
func (exchanger *Exchanger) agentRound(ctx context.Context) {
	own := exchanger.self()
	service := own.GetService()
	query := exchanger.query(exchanger.limit)
	query.Recent = true
	ask := &encoder.DigestAsk{
		Asker: exchanger.name, Service: service, Revision: own.GetRevision(), Wanted: exchanger.takeWanted(),
	}
	var peer Row
	exchanger.view.with(service, func(table *Table, now timekeeper.Instant) {
		table.Merge(now, own)
		ask.Own = table.Pack(now, query)
		peer = exchanger.peer(table)
	})
	address := exchanger.addressOf(peer)
	if address == "" {
		return
	}
	answer, err := exchanger.ask(ctx, address, budgeter.Digest, ask)
	exchanger.view.with(service, func(table *Table, now timekeeper.Instant) {
		if err != nil {
			table.RecordFailure(now, peer.Name)
			return
		}
		table.RecordAnswer(peer.Name)
		exchanger.want(table.Unpack(now, answer))
	})
}

// Mean returns the load of the agent's whole service as far as it is known. Its
// own part is what it is now, not what it was in the last round: a load that
// came since would else count as carried and not as part of the mean.
func (exchanger *Exchanger) Mean() admitter.Mean {
	own := exchanger.self()
	var mean admitter.Mean
	exchanger.view.with(own.GetService(), func(table *Table, now timekeeper.Instant) {
		table.Merge(now, own)
		mean = table.Mean(now)
	})
	return mean
}

// addressOf returns where a peer is reached, or a seed when there is none.
func (exchanger *Exchanger) addressOf(peer Row) string {
	if peer.Name != "" {
		return peer.DialAddress()
	}
	if len(exchanger.seeds) == 0 {
		return ""
	}
	return exchanger.seeds[exchanger.random(int64(len(exchanger.seeds)))]
}

// peer picks a peer at random; the view's lock must be held. Mostly it is one
// that is believed to be up.
func (exchanger *Exchanger) peer(table *Table) Row {
	random := exchanger.view.random
	stray := random.IntN(strayOneIn) == 0
	var choice []Row
	for _, row := range table.Rows() {
		if row.Name != exchanger.name && row.DialAddress() != "" && (stray || !row.dead && !row.leaving()) {
			choice = append(choice, row)
		}
	}
	if len(choice) == 0 {
		return Row{}
	}
	return choice[random.IntN(len(choice))]
}

// entryRound asks one agent of each service for what has changed.
func (exchanger *Exchanger) entryRound(ctx context.Context) {
	services := exchanger.view.Services()
	if len(services) == 0 {
		exchanger.askSeed(ctx)
		return
	}
	var asks sync.WaitGroup
	for _, service := range services {
		asks.Go(func() {
			if failed := exchanger.askAbout(ctx, service, len(services), ""); failed != "" {
				// The contact is gone, and may be the one that leaves: another is
				// asked in the same round, or two seconds would pass unheard.
				exchanger.askAbout(ctx, service, len(services), failed)
			}
		})
	}
	asks.Wait()
}

// askAbout asks the contact of a service, or another if it is to be avoided,
// and returns the name of an agent that didn't answer.
func (exchanger *Exchanger) askAbout(ctx context.Context, service string, services int, avoid string) string {
	var peer Row
	exchanger.view.with(service, func(table *Table, _ timekeeper.Instant) { peer = exchanger.contact(table, avoid) })
	if peer.Name == "" {
		exchanger.askSeed(ctx)
		return ""
	}
	exchanger.mu.Lock()
	known := exchanger.known[peer.Name]
	quiet := exchanger.clock.Now().Since(exchanger.answered[service])
	exchanger.mu.Unlock()
	query := exchanger.query(min(exchanger.limit, exchanger.share/services))
	ask := &encoder.DigestAsk{
		Asker: exchanger.name, Service: service, Known: known.version, Wanted: exchanger.takeWanted(), Limit: uint32(query.Limit),
	}
	// A new contact tells the last seconds' news, unless nobody has told any
	// for so long that more is missing.
	ask.Recent = known.version == 0 && quiet < newsFor/2
	if known.version == 0 && !ask.GetRecent() {
		ask.Limit = fullAnswer
	}
	answer, err := exchanger.ask(ctx, peer.DialAddress(), budgeter.Digest, ask)
	if err == nil && answer.GetIncarnation() != known.incarnation && known.version != 0 {
		// Another life of the agent counts its versions anew.
		answer.Version = 0
	}
	if err == nil && answer.GetService() != service {
		err = errOtherService
	}
	exchanger.settle(service, peer, answer, err)
	if err != nil {
		return peer.Name
	}
	return ""
}

// settle takes in an answer, or drops the contact that gave none.
func (exchanger *Exchanger) settle(service string, peer Row, answer *encoder.Digests, err error) {
	dropped := false
	exchanger.view.with(service, func(table *Table, now timekeeper.Instant) {
		if err != nil {
			// A contact that fails once is asked again in the next round, so that
			// a slow one is told from a dead one.
			table.RecordFailure(now, peer.Name)
			dropped = table.rows[peer.Name] == nil || table.rows[peer.Name].fails >= failsToDie
			return
		}
		table.RecordAnswer(peer.Name)
		exchanger.want(table.Unpack(now, answer))
	})
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	if err != nil {
		if dropped {
			delete(exchanger.contacts, service)
			delete(exchanger.known, peer.Name)
		}
		return
	}
	exchanger.answered[service] = exchanger.clock.Now()
	exchanger.known[peer.Name] = heard{incarnation: answer.GetIncarnation(), version: answer.GetVersion()}
}

// contact returns the agent to ask about a service: one of the entry's own data
// centre if there is one, now and then another. The view's lock must be held.
func (exchanger *Exchanger) contact(table *Table, avoid string) Row {
	random := exchanger.view.random
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	held := exchanger.contacts[table.service]
	stray := random.IntN(otherOneIn) == 0
	var near, far []Row
	for _, row := range table.Live() {
		if row.Name == avoid {
			continue
		}
		if row.fails > 0 && row.fails < failsToDie && avoid == "" {
			// One failure is confirmed or cleared in the next round.
			return row
		}
		if row.Name == held.name && !stray {
			return row
		}
		if row.Site == exchanger.site {
			near = append(near, row)
		} else {
			far = append(far, row)
		}
	}
	choice := near
	if len(near) == 0 || stray && len(far) > 0 {
		choice = far
	}
	if len(choice) == 0 {
		return Row{}
	}
	picked := choice[random.IntN(len(choice))]
	if !stray && avoid == "" {
		exchanger.contacts[table.service] = contact{name: picked.Name, site: picked.Site}
	}
	return picked
}

// askSeed asks the configured peers, whatever their service, when the view is
// empty: an entry that starts while the instance list can't be read.
func (exchanger *Exchanger) askSeed(ctx context.Context) {
	for _, address := range exchanger.seeds {
		answer, err := exchanger.ask(ctx, address, budgeter.Digest, &encoder.DigestAsk{Asker: exchanger.name, Limit: fullAnswer})
		if err != nil {
			continue
		}
		exchanger.view.with(answer.GetService(), func(table *Table, now timekeeper.Instant) { table.Unpack(now, answer) })
	}
}

// Announce tells every peer at once that this agent leaves. It isn't held back
// by the budget, and happens once in the life of a process.
func (exchanger *Exchanger) Announce(ctx context.Context) {
	own := exchanger.self()
	var peers []Row
	exchanger.view.with(own.GetService(), func(table *Table, now timekeeper.Instant) {
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
