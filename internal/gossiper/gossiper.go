package gossiper

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// urgentInterval is the minimum time between two digests when updates are urgent.
const urgentInterval = 15 * timekeeper.Millisecond

// Gossiper sends and receives digests.
type Gossiper struct {
	settings Settings
	wakeups  chan struct{}

	mu         sync.Mutex
	outbox     *outbox
	peers      *peers
	sequence   uint64
	stopping   bool
	lastDigest *encoder.PeerDigest
	lastSent   timekeeper.Instant
	interval   timekeeper.Span
	allowance  burstAllowance
}

// New returns a gossiper without peers.
func New(settings Settings) *Gossiper {
	settings = settings.withDefaults()
	return &Gossiper{
		settings: settings, wakeups: make(chan struct{}, 1),
		outbox: newOutbox(), peers: newPeers(settings.Conn.LocalAddr().String()), interval: minInterval,
	}
}

// AddPeer adds the address of an entry.
func (gossiper *Gossiper) AddPeer(address string) {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.peers.add(address, now)
}

// SendPlacement reports to peers that a prompt was sent to a replica. first says that the
// replica prefills, for the first time, parts that other requests share. Peers must know
// these parts soon, so they are sent as an update, without the last part, which no other
// request shares.
func (gossiper *Gossiper) SendPlacement(replica balancer.Key, parts []balancer.Part, first bool) {
	placed := placement{replica: replica, parts: parts}
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if !first {
		gossiper.outbox.addReminder(placed)
		return
	}
	placed.parts = balancer.SharedParts(parts)
	gossiper.outbox.placements.add(placed)
}

// SendUnreachable reports to peers at once that a replica accepts no connections.
func (gossiper *Gossiper) SendUnreachable(replica string) {
	gossiper.enqueue(func(outbox *outbox) { outbox.unreachable.add(replica) })
}

// SendLeaveAnnounced sends peers at once the incarnation of a replica that has announced
// that it leaves.
func (gossiper *Gossiper) SendLeaveAnnounced(incarnation string) {
	gossiper.enqueue(func(outbox *outbox) { outbox.leaveAnnounced.add(incarnation) })
}

// SendLeaving reports to peers at once that the store lists a replica as leaving, or no
// longer lists it.
func (gossiper *Gossiper) SendLeaving(leave Leave) {
	gossiper.enqueue(func(outbox *outbox) { outbox.leaves.add(leave) })
}

// SendListChange sends an update of the list of replicas to peers at once.
func (gossiper *Gossiper) SendListChange(update ReplicaUpdate) {
	gossiper.enqueue(func(outbox *outbox) { outbox.changes.add(update) })
}

// SendCold reports to peers at once that a replica has turned cold.
func (gossiper *Gossiper) SendCold(notice ColdNotice) {
	now := gossiper.settings.Clock.Now()
	gossiper.enqueue(func(outbox *outbox) {
		outbox.cold.add(notice)
		outbox.recentCold.add(notice, now)
	})
}

// SendStrike reports to peers at once that a request was in flight at a replica when it
// crashed.
func (gossiper *Gossiper) SendStrike(strike Strike) {
	gossiper.enqueue(func(outbox *outbox) { outbox.strikes.add(strike) })
}

// SendCrash reports to peers at once that a replica crashed, with the parts in flight there.
func (gossiper *Gossiper) SendCrash(crash Crash) {
	gossiper.enqueue(func(outbox *outbox) { outbox.crashes.add(crash) })
}

// SendSurvival reports to peers that answers on features survived; at once if that is urgent.
func (gossiper *Gossiper) SendSurvival(features []quarantiner.Feature, urgent bool) {
	gossiper.mu.Lock()
	gossiper.outbox.survived.add(features...)
	gossiper.mu.Unlock()
	if urgent {
		gossiper.wake()
	}
}

// SendTrial reports to peers at once that a trial of features begins.
func (gossiper *Gossiper) SendTrial(features []quarantiner.Feature) {
	gossiper.enqueue(func(outbox *outbox) { outbox.tried.add(features...) })
}

// SendQuarantine sends the quarantined features to peers at once.
func (gossiper *Gossiper) SendQuarantine() { gossiper.wake() }

// SendEvacuations sends the evacuations in force at this entry to peers at once.
func (gossiper *Gossiper) SendEvacuations() { gossiper.wake() }

// SendEra reports to peers at once that the store has come back from a copy.
func (gossiper *Gossiper) SendEra() { gossiper.wake() }

// SendVersion reports to peers at once that the version of the configuration in force has
// changed.
func (gossiper *Gossiper) SendVersion() { gossiper.wake() }

// AnnounceStop reports to peers that this entry accepts no more callers.
func (gossiper *Gossiper) AnnounceStop() {
	gossiper.mu.Lock()
	gossiper.stopping = true
	gossiper.mu.Unlock()
	gossiper.wake()
}

// enqueue adds an update to the outbox and wakes Run.
func (gossiper *Gossiper) enqueue(add func(outbox *outbox)) {
	gossiper.mu.Lock()
	add(gossiper.outbox)
	gossiper.mu.Unlock()
	gossiper.wake()
}

func (gossiper *Gossiper) wake() {
	select {
	case gossiper.wakeups <- struct{}{}:
	default:
	}
}

// LivePeers returns the addresses of the peers that count as live.
func (gossiper *Gossiper) LivePeers() []string {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.peers.live(now)
}

// CountRecentPeers returns how many peers have sent a digest within a span.
func (gossiper *Gossiper) CountRecentPeers(span timekeeper.Span) int {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return len(gossiper.peers.receivedWithin(span, now))
}

// KnownPeers returns the addresses of the peers that sent a digest or were added within a
// span, including those that are silent now.
func (gossiper *Gossiper) KnownPeers(span timekeeper.Span) []string {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.peers.knownWithin(span, now)
}

// RecentMembers returns the peers that have sent a digest within a span.
func (gossiper *Gossiper) RecentMembers(span timekeeper.Span) []elector.Member {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.peers.members(span, now)
}

// Run sends digests until ctx ends.
func (gossiper *Gossiper) Run(ctx context.Context) {
	for {
		fired, release := gossiper.settings.Clock.After(gossiper.currentInterval())
		select {
		case <-ctx.Done():
			release()
			return
		case <-fired:
		case <-gossiper.wakeups:
			// Send updates that arrive together in one digest.
			_ = gossiper.settings.Clock.Sleep(ctx, urgentInterval)
		}
		release()
		gossiper.sendDigest()
	}
}

func (gossiper *Gossiper) currentInterval() timekeeper.Span {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.interval
}

// sendDigest sends one digest to all peers, unless nothing has changed.
func (gossiper *Gossiper) sendDigest() {
	digest, recipients := gossiper.nextDigest()
	if len(recipients) == 0 {
		return
	}
	datagram, err := proto.Marshal(digest)
	if err != nil {
		gossiper.settings.Log.WithError(err).Error("digest not encoded")
		return
	}
	gossiper.setInterval(len(datagram), len(recipients))
	for _, address := range recipients {
		gossiper.send(datagram, address)
	}
}

// nextDigest returns the next digest and the addresses that receive it; no addresses if
// nothing has changed or there are no peers.
func (gossiper *Gossiper) nextDigest() (*encoder.PeerDigest, []string) {
	inFlight := gossiper.settings.InFlight()
	live := len(gossiper.LivePeers())
	gossiper.settings.Scope.Gauge("peers-up").Update(float64(live))
	version := gossiper.settings.Version()
	failing := gossiper.settings.StoreFailing()
	summary, hasSummary := gossiper.settings.ListSummary()
	evacuations, hasEvacuations := gossiper.settings.Evacuations()
	era, _ := gossiper.settings.StoreEras()
	retention := encodeRetention(gossiper.settings.Retention())
	checksHealth := gossiper.settings.ChecksHealth()
	quarantined := gossiper.settings.Quarantined()
	demands, reservations := gossiper.settings.Demands(live), gossiper.settings.Reservations()
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.queueReservations(reservations, live, now)
	digest := &encoder.PeerDigest{
		Incarnation: gossiper.settings.Incarnation, Configuration: version, StoreFailing: failing,
		IntervalMs: uint32(max(gossiper.interval, idleInterval)), Stopping: gossiper.stopping, StoreEra: era,
		ChecksHealth: checksHealth && !gossiper.stopping, Quarantined: encodeQuarantined(quarantiner.Part, quarantined, now),
		QuarantinedRequests: encodeQuarantined(quarantiner.Request, quarantined, now), Demands: encodeDemands(demands),
	}
	if hasEvacuations {
		digest.Evacuations = encodeEvacuations(evacuations)
	}
	fillInFlight(digest, inFlight)
	if gossiper.outbox.empty() && sameContent(gossiper.lastDigest, digest) && now.Since(gossiper.lastSent) < idleInterval {
		return nil, nil
	}
	recipients := gossiper.peers.recipients(now)
	if len(recipients) == 0 {
		return nil, nil
	}
	gossiper.lastDigest, gossiper.lastSent = digest, now
	gossiper.sequence++
	full := &encoder.PeerDigest{
		Incarnation: digest.Incarnation, Sequence: gossiper.sequence, IntervalMs: digest.IntervalMs,
		Configuration: version, Stopping: digest.Stopping, StoreAgeMs: ageOf(gossiper.settings.StoreAnswered(), now),
		Replicas: digest.Replicas, Running: digest.Running, Unread: digest.Unread, Rates: digest.Rates, ChecksHealth: digest.ChecksHealth,
		DataCentre: DataCentreKey(gossiper.settings.DataCentre), StoreFailing: failing, Evacuations: digest.Evacuations,
		StoreEra: era, Retention: retention, Quarantined: digest.Quarantined, QuarantinedRequests: digest.QuarantinedRequests,
		Demands: digest.Demands,
	}
	if hasSummary {
		full.Listing = &encoder.PeerListing{
			Era: summary.Version.Era, Version: summary.Version.Number, Sum: summary.Sum, AgeMs: ageOf(summary.At, now),
		}
	}
	gossiper.outbox.fill(full, reminderRoom(len(recipients), gossiper.settings.Budget), now)
	if gossiper.sequence%introduceEvery == 1 {
		full.Peers = gossiper.peers.live(now)
		full.Peers = full.Peers[:min(len(full.Peers), maxIntroduced)]
	}
	return full, recipients
}

// queueReservations queues reservations for the next digests to a number of live peers. Without a
// live peer they are dropped: nobody else serves the callers.
func (gossiper *Gossiper) queueReservations(fresh []reserver.Reservation, live int, now timekeeper.Instant) {
	if live == 0 || len(fresh) == 0 {
		return
	}
	if notSent := gossiper.outbox.addReservations(fresh, live, now); notSent > 0 {
		gossiper.settings.Scope.Counter("reservations-not-sent").Inc(int64(notSent))
	}
}

// ageOf returns the age of an instant, at least a millisecond; zero means that there is no
// instant.
func ageOf(at, now timekeeper.Instant) uint32 {
	if at == 0 {
		return 0
	}
	return uint32(min(max(1, now.Since(at)), timekeeper.Hour))
}

// setInterval sets the time until the next digest by the cost of this one.
func (gossiper *Gossiper) setInterval(size, peers int) {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	steady := steadyInterval(size, peers, steadyShare*gossiper.settings.Budget)
	gossiper.interval = gossiper.allowance.shorten(steady, size*peers, gossiper.settings.Budget, now)
}
