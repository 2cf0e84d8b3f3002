package gossiper

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// mostDatagram is the longest digest that is read, in bytes.
const mostDatagram = 32 << 10

// defaultBudget is what digests may cost an entry, in bytes a second: seven
// tenths of the 11 KB/s that a daemon may spend on control.
const defaultBudget = 7700

// kickSpan is the least time between two digests when there is urgent news.
const kickSpan = 15 * timekeeper.Millisecond

// Settings set up a gossiper. All fields but Budget, StoreFailing, Listing and
// Evacuations must be set.
type Settings struct {
	Incarnation uint64
	// DataCentre is where the entry stands.
	DataCentre string
	Clock      timekeeper.Clock
	Log        logrus.FieldLogger
	Scope      tally.Scope
	// Conn carries the datagrams; its address is the one that peers know.
	Conn net.PacketConn
	// InFlight returns what this entry has under way.
	InFlight func() map[balancer.Key]balancer.InFlight
	// Version returns the version of the configuration in force.
	Version func() uint64
	// StoreAnswered returns when the store answered this entry last; zero means never.
	StoreAnswered func() timekeeper.Instant
	// StoreFailing reports whether the store did not answer the last call. Nil means
	// that it did.
	StoreFailing func() bool
	// ListSummary returns what the last own reading of the list of replicas found; false
	// means that there is none to tell of. Nil means that there never is.
	ListSummary func() (follower.Summary, bool)
	// Evacuations returns what is in force here, and whether peers should be told of it.
	// Nil means that nothing ever is.
	Evacuations func() (balancer.Evacuations, bool)
	// OnDigest takes what a peer tells.
	OnDigest func(heard Digest)
	// Budget is in bytes a second; zero means 7,700.
	Budget float64
}

// Gossiper sends and receives digests.
type Gossiper struct {
	settings Settings
	kicked   chan struct{}

	mu       sync.Mutex
	outbox   *outbox
	peers    *peers
	sequence uint64
	stopping bool
	last     *encoder.PeerDigest
	lastSent timekeeper.Instant
	span     timekeeper.Span
	reserve  reserve
}

// noEvacuations are those of a gossiper that is told of none.
func noEvacuations() (balancer.Evacuations, bool) { return balancer.Evacuations{}, false }

// New returns a gossiper that knows no peers.
func New(settings Settings) *Gossiper {
	if settings.Budget == 0 {
		settings.Budget = defaultBudget
	}
	if settings.StoreFailing == nil {
		settings.StoreFailing = func() bool { return false }
	}
	if settings.ListSummary == nil {
		settings.ListSummary = func() (follower.Summary, bool) { return follower.Summary{}, false }
	}
	if settings.Evacuations == nil {
		settings.Evacuations = noEvacuations
	}
	return &Gossiper{
		settings: settings, kicked: make(chan struct{}, 1),
		outbox: newOutbox(), peers: newPeers(settings.Conn.LocalAddr().String()), span: shortest,
	}
}

// AddPeer notes the address of an entry.
func (gossiper *Gossiper) AddPeer(address string) {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	gossiper.peers.learn(address, now)
}

// SendPlacement tells peers of a prompt that was sent to a replica. first says that the
// replica reads a part there that other requests share, which peers must know
// soon: they are told of these parts alone, for the last one is the request's own.
func (gossiper *Gossiper) SendPlacement(replica balancer.Key, parts []balancer.Part, first bool) {
	placed := placement{replica: replica, parts: parts}
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	if !first {
		gossiper.outbox.remind(placed)
		return
	}
	placed.parts = balancer.SharedParts(parts)
	gossiper.outbox.placements.add(placed)
}

// SendUnreachable tells peers at once of a replica that takes no connections.
func (gossiper *Gossiper) SendUnreachable(replica string) {
	gossiper.tell(func(outbox *outbox) { outbox.unreachable.add(replica) })
}

// SendLeaveAnnounced tells peers at once of the incarnation of a replica that has said that it
// leaves.
func (gossiper *Gossiper) SendLeaveAnnounced(incarnation string) {
	gossiper.tell(func(outbox *outbox) { outbox.announced.add(incarnation) })
}

// SendLeaving tells peers at once of a replica that the store lists as leaving or gone.
func (gossiper *Gossiper) SendLeaving(leave Leave) {
	gossiper.tell(func(outbox *outbox) { outbox.leaves.add(leave) })
}

// SendListChange tells peers at once of a change of the list of replicas.
func (gossiper *Gossiper) SendListChange(news ReplicaUpdate) {
	gossiper.tell(func(outbox *outbox) { outbox.listed.add(news) })
}

// SendCold tells peers at once of a replica that has turned cold.
func (gossiper *Gossiper) SendCold(notice ColdNotice) {
	gossiper.tell(func(outbox *outbox) { outbox.cold.add(notice) })
}

// SendStrike tells peers at once of a request that was at a replica when it crashed.
func (gossiper *Gossiper) SendStrike(strike Strike) {
	gossiper.tell(func(outbox *outbox) { outbox.strikes.add(strike) })
}

// SendEvacuations tells peers at once of the evacuations in force here.
func (gossiper *Gossiper) SendEvacuations() { gossiper.kick() }

// SendVersion tells peers at once that the version in force has changed.
func (gossiper *Gossiper) SendVersion() { gossiper.kick() }

// AnnounceStop tells peers that this entry takes no more callers.
func (gossiper *Gossiper) AnnounceStop() {
	gossiper.mu.Lock()
	gossiper.stopping = true
	gossiper.mu.Unlock()
	gossiper.kick()
}

// tell puts news into the next digest, which goes out at once.
func (gossiper *Gossiper) tell(note func(outbox *outbox)) {
	gossiper.mu.Lock()
	note(gossiper.outbox)
	gossiper.mu.Unlock()
	gossiper.kick()
}

func (gossiper *Gossiper) kick() {
	select {
	case gossiper.kicked <- struct{}{}:
	default:
	}
}

// LivePeers returns the addresses of the peers that count as up.
func (gossiper *Gossiper) LivePeers() []string {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.peers.up(now)
}

// CountRecentPeers returns how many peers have been heard of within a span.
func (gossiper *Gossiper) CountRecentPeers(span timekeeper.Span) int {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return len(gossiper.peers.heardWithin(span, now))
}

// KnownPeers returns the addresses of the peers that were heard or learnt of within a span, those
// that are silent now among them.
func (gossiper *Gossiper) KnownPeers(span timekeeper.Span) []string {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.peers.knownWithin(span, now)
}

// RecentMembers returns the peers that have been heard of within a span.
func (gossiper *Gossiper) RecentMembers(span timekeeper.Span) []elector.Member {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.peers.members(span, now)
}

// Run sends digests until ctx ends.
func (gossiper *Gossiper) Run(ctx context.Context) {
	for {
		fired, release := gossiper.settings.Clock.After(gossiper.spanNow())
		select {
		case <-ctx.Done():
			release()
			return
		case <-fired:
		case <-gossiper.kicked:
			// News that come together go together.
			_ = gossiper.settings.Clock.Sleep(ctx, kickSpan)
		}
		release()
		gossiper.round()
	}
}

func (gossiper *Gossiper) spanNow() timekeeper.Span {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	return gossiper.span
}

// round sends one digest to all peers, unless there is nothing new to say.
func (gossiper *Gossiper) round() {
	digest, due := gossiper.next()
	if len(due) == 0 {
		return
	}
	datagram, err := proto.Marshal(digest)
	if err != nil {
		gossiper.settings.Log.WithError(err).Error("digest not encoded")
		return
	}
	gossiper.settle(len(datagram), len(due))
	sent := gossiper.settings.Scope.Counter("peer-bytes-sent")
	for _, address := range due {
		target, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			continue
		}
		// A datagram that can't be sent is like one that was lost.
		if _, err := gossiper.settings.Conn.WriteTo(datagram, target); err == nil {
			sent.Inc(int64(len(datagram)))
		}
	}
}

// next returns the digest to send, and to whom.
func (gossiper *Gossiper) next() (*encoder.PeerDigest, []string) {
	held := gossiper.settings.InFlight()
	gossiper.settings.Scope.Gauge("peers-up").Update(float64(len(gossiper.LivePeers())))
	version := gossiper.settings.Version()
	failing := gossiper.settings.StoreFailing()
	listing, reads := gossiper.settings.ListSummary()
	evacuations, telling := gossiper.settings.Evacuations()
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	digest := &encoder.PeerDigest{
		Incarnation: gossiper.settings.Incarnation, Configuration: version, StoreFailing: failing,
		IntervalMs: uint32(max(gossiper.span, restful)), Stopping: gossiper.stopping,
	}
	if telling {
		digest.Evacuations = &encoder.PeerEvacuations{Version: evacuations.Version, DataCentres: evacuations.DataCentres}
	}
	fillLoads(digest, held)
	if gossiper.outbox.empty() && same(gossiper.last, digest) && now.Since(gossiper.lastSent) < restful {
		return nil, nil
	}
	due := gossiper.peers.due(now)
	if len(due) == 0 {
		return nil, nil
	}
	gossiper.last, gossiper.lastSent = digest, now
	gossiper.sequence++
	full := &encoder.PeerDigest{
		Incarnation: digest.Incarnation, Sequence: gossiper.sequence, IntervalMs: digest.IntervalMs,
		Configuration: version, Stopping: digest.Stopping, StoreAgeMs: ageOf(gossiper.settings.StoreAnswered(), now),
		Replicas: digest.Replicas, Running: digest.Running, Unread: digest.Unread,
		DataCentre: DataCentreKey(gossiper.settings.DataCentre), StoreFailing: failing, Evacuations: digest.Evacuations,
	}
	if reads {
		full.Listing = &encoder.PeerListing{Version: uint64(listing.Version), Sum: listing.Sum, AgeMs: ageOf(listing.At, now)}
	}
	gossiper.outbox.fill(full, roomOf(len(due), gossiper.settings.Budget), now)
	if gossiper.sequence%introduceEvery == 1 {
		full.Peers = gossiper.peers.up(now)
		full.Peers = full.Peers[:min(len(full.Peers), mostIntroduced)]
	}
	return full, due
}

// ageOf returns how long ago an instant is, at least a millisecond; zero means
// that there is none.
func ageOf(at, now timekeeper.Instant) uint32 {
	if at == 0 {
		return 0
	}
	return uint32(min(max(1, now.Since(at)), timekeeper.Hour))
}

// same reports whether a digest says what the last one did.
func same(last, next *encoder.PeerDigest) bool {
	return last != nil && last.Configuration == next.Configuration && last.Stopping == next.Stopping &&
		last.StoreFailing == next.StoreFailing && sameCentres(last.Evacuations, next.Evacuations) &&
		slices.Equal(last.Replicas, next.Replicas) && slices.Equal(last.Running, next.Running) &&
		slices.Equal(last.Unread, next.Unread)
}

// sameCentres reports whether the same data centres are evacuated, at whatever versions.
func sameCentres(one, other *encoder.PeerEvacuations) bool {
	return (one == nil) == (other == nil) && slices.Equal(one.GetDataCentres(), other.GetDataCentres())
}

// settle sets the time until the next digest by what this one costs.
func (gossiper *Gossiper) settle(size, peers int) {
	now := gossiper.settings.Clock.Now()
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	steady := interval(size, peers, steadyShare*gossiper.settings.Budget)
	gossiper.span = gossiper.reserve.hasten(steady, size*peers, gossiper.settings.Budget, now)
}

// Receive takes in digests until the connection is closed.
func (gossiper *Gossiper) Receive() error {
	buffer := make([]byte, mostDatagram)
	for {
		size, from, err := gossiper.settings.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A network that reports an unreachable peer says nothing about the others.
			gossiper.settings.Scope.Counter("peer-receive-errors").Inc(1)
			_ = gossiper.settings.Clock.Sleep(context.Background(), kickSpan)
			continue
		}
		gossiper.take(buffer[:size], from)
	}
}

func (gossiper *Gossiper) take(datagram []byte, from net.Addr) {
	digest := &encoder.PeerDigest{}
	if err := proto.Unmarshal(datagram, digest); err != nil || digest.Incarnation == 0 {
		gossiper.settings.Scope.Counter("peer-digests-malformed").Inc(1)
		return
	}
	now := gossiper.settings.Clock.Now()
	address := from.String()
	gossiper.mu.Lock()
	fresh := gossiper.peers.hear(address, digest.Incarnation, digest.Sequence, now)
	if fresh {
		gossiper.peers.describe(elector.Member{
			Address: address, DataCentre: digest.DataCentre, Failing: digest.StoreFailing, Stopping: digest.Stopping,
		})
	}
	for _, other := range digest.Peers {
		if _, err := netip.ParseAddrPort(other); err == nil {
			gossiper.peers.learn(other, now)
		}
	}
	gossiper.mu.Unlock()
	if fresh {
		heard := heardOf(digest, address, now)
		heard.SameDataCentre = digest.DataCentre == DataCentreKey(gossiper.settings.DataCentre)
		gossiper.settings.OnDigest(heard)
	}
}
