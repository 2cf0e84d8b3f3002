package assembler

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/internal/limiter"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/internal/resumer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

const (
	// pathConfiguration serves peers the configuration in force, as the operator wrote it.
	pathConfiguration = "/v1/configuration"
	// pathState serves peers that start what a restored store may lack.
	pathState = "/v1/state"
	// pathReplicas serves peers the list of replicas.
	pathReplicas = "/v1/replicas"
	// maxFetchBytes bounds a response from a peer.
	maxFetchBytes = 16 << 20
)

// peers exchanges digests with the other entries, fetches copies from them and serves
// copies to them.
type peers struct {
	direct   *Direct
	store    *platform.Store
	gossiper *gossiper.Gossiper
	streams  *resumer.Resumer
	client   *http.Client

	election      election
	coldSharing   coldSharing
	transfers     transfers
	publishWindow publishWindow

	// eraLearnt has an element if the store has come back since the last check.
	eraLearnt chan struct{}

	mu       sync.Mutex
	fetching bool
	// fetchFrom is the offer to fetch a newer configuration from, newestOffered the
	// newest version that was offered, and behindSince when an offer first showed that
	// this entry lacks a version.
	fetchFrom     offer
	newestOffered uint64
	behindSince   timekeeper.Instant
	// answerTimes are instants at which the store answered peers, and ownAnswerTimes at which it
	// answered this entry, in order.
	answerTimes, ownAnswerTimes []timekeeper.Instant
}

// newPeers returns peers, and a function that closes its idle connections.
func newPeers(direct *Direct, store *platform.Store, conn net.PacketConn) (*peers, func()) {
	dialer := &net.Dialer{Timeout: fetchTimeout.Duration(), Control: connector.UserTimeoutControl(fetchTimeout)}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	client, release := limiter.Client(transport)
	peers := &peers{direct: direct, store: store, client: client, eraLearnt: make(chan struct{}, 1)}
	peers.gossiper = gossiper.New(gossiper.Settings{
		Incarnation: newIncarnation(), DataCentre: direct.settings.DataCentre, Clock: direct.clock, Log: direct.log,
		Scope: direct.scope, Conn: conn, InFlight: direct.inFlight, Version: direct.offeredVersion, OnDigest: peers.applyDigest,
		StoreAnswered: peers.ownAnswered, StoreFailing: direct.storeFailing,
		ListSummary: func() (follower.Summary, bool) { return direct.replicas.Summary() },
		Evacuations: peers.evacuations, StoreEras: direct.eras.Known, Retention: direct.retention, ChecksHealth: direct.checksHealth,
		Quarantined: func() []quarantiner.Quarantine { return direct.frontend.Quarantined() },
		Demands:     direct.demandSource(), Reservations: direct.reservationSource(),
		OnStreams: func(peer string, message resumer.Message) { peers.streams.Handle(peer, message) },
	})
	peers.streams = resumer.New(resumer.Settings{
		Clock: direct.clock, Peers: peers.gossiper.LivePeers, Send: peers.gossiper.SendStreams, Versions: direct.versions.of,
		Alone: func() bool { return len(peers.gossiper.KnownPeers(retryPeerTimeout)) == 0 },
	})
	return peers, release
}

// liveEntries returns the number of live entries, including this one.
func (peers *peers) liveEntries() int { return 1 + len(peers.gossiper.LivePeers()) }

// inFlight returns this entry's requests in flight at each replica.
func (direct *Direct) inFlight() (inFlight map[balancer.Key]balancer.InFlight) {
	direct.fleet.With(func(fleet *balancer.Fleet) { inFlight = fleet.InFlight(direct.clock.Now()) })
	return inFlight
}

// storeAnswered returns when the store last answered this entry; zero means never.
func (direct *Direct) storeAnswered() timekeeper.Instant {
	return max(direct.replicas.LastAnswered(), direct.operatorTable.LastAnswered())
}

// storeFailing reports whether the last call of either follower to the store failed.
func (direct *Direct) storeFailing() bool {
	return direct.replicas.Failing() || direct.operatorTable.Failing()
}

// version returns the version in force; zero means that none is known.
func (direct *Direct) version() uint64 {
	if document := direct.document.Load(); document != nil {
		return document.Config.Version()
	}
	return 0
}

// applyDigest applies a digest received from a peer.
func (peers *peers) applyDigest(digest gossiper.Digest) {
	now := peers.direct.clock.Now()
	from := "peer " + digest.Address
	// What follows is compared with the versions of the era.
	peers.direct.learnEra(digest.StoreEra, from)
	peers.direct.applyRetention(digest.Retention, from)
	// Apply evacuations before the configuration of the same digest: an entry serves
	// callers as soon as it has a configuration.
	if digest.Evacuations != nil {
		peers.direct.applyPeerEvacuations(*digest.Evacuations, digest.Address)
	}
	peers.direct.fleet.With(func(fleet *balancer.Fleet) {
		fleet.SetPeerInFlight(digest.Address, digest.InFlight, digest.Lifetime, now)
		fleet.SetPeerChecksHealth(digest.Address, digest.ChecksHealth)
		peers.direct.applyOverload(fleet, digest, now)
		for _, placed := range digest.Placements {
			fleet.RecordCached(placed.Replica, placed.Parts, now)
		}
		for _, replica := range digest.Unreachable {
			fleet.MarkUnreachable(replica, now)
		}
	})
	for _, replica := range digest.Unreachable {
		peers.direct.frontend.CheckUnreachable(replica)
	}
	peers.applyColdNotices(digest)
	peers.applyLeaves(digest, now)
	peers.direct.applyCrashes(digest)
	peers.recordPeerAnswered(digest.StoreAnswered)
	for _, update := range digest.ListChanges {
		peers.direct.replicas.ApplyUpdate(update)
	}
	if digest.ListSummary != nil {
		peers.election.recordReader(digest.Address)
		summary := *digest.ListSummary
		summary.From = digest.Address
		peers.direct.replicas.Compare(summary)
	}
	if version := peers.direct.version(); digest.Configuration != 0 && digest.Configuration <= version {
		peers.direct.openStartGate("a peer has no newer configuration", 0)
	}
	if digest.Configuration > peers.direct.version() {
		peers.handleOffer(offer{address: digest.Address, version: digest.Configuration, sameDataCentre: digest.SameDataCentre})
	}
}

// applyLeaves marks replicas as leaving: those that a peer read as leaving, or found
// removed, in the list of replicas, and those that announced it to the peer.
func (peers *peers) applyLeaves(digest gossiper.Digest, now timekeeper.Instant) {
	var leaves []gossiper.Leave
	var announced []string
	peers.direct.fleet.With(func(fleet *balancer.Fleet) {
		for _, leave := range digest.Leaves {
			if fleet.MarkLeaving(leave.Replica, leave.Version) {
				leaves = append(leaves, leave)
			}
		}
		for _, incarnation := range digest.LeaveAnnounced {
			if fleet.MarkLeaveAnnounced(incarnation, now) {
				announced = append(announced, incarnation)
			}
		}
	})
	for _, leave := range leaves {
		peers.direct.log.WithFields(logrus.Fields{
			labelReplica: leave.Replica, labelVersion: leave.Version.Number, labelEra: leave.Version.Era, labelPeer: digest.Address,
		}).Info("replica leaves, as a peer saw")
	}
	for _, incarnation := range announced {
		peers.direct.log.WithFields(logrus.Fields{
			labelReplica: balancer.IDOf(incarnation), "incarnation": incarnation, labelPeer: digest.Address,
		}).Info("replica leaves, as it told a peer")
	}
}

const (
	// answerSpacing is the minimum time between two recorded answers of the store to
	// peers, maxAnswerTimes the maximum number recorded: together they span at least a
	// minute.
	answerSpacing  = 250 * timekeeper.Millisecond
	maxAnswerTimes = 240
)

// recordPeerAnswered records when the store answered a peer.
func (peers *peers) recordPeerAnswered(at timekeeper.Instant) {
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.answerTimes = appendAnswer(peers.answerTimes, at)
}

// appendAnswer appends an instant unless it is too close to the one before, and drops the oldest if there
// are too many.
func appendAnswer(times []timekeeper.Instant, at timekeeper.Instant) []timekeeper.Instant {
	if count := len(times); count > 0 && at < times[count-1].Add(answerSpacing) {
		return times
	}
	times = append(times, at)
	return times[max(0, len(times)-maxAnswerTimes):]
}

// ownAnswered returns when the store last answered this entry, and records it.
func (peers *peers) ownAnswered() timekeeper.Instant {
	at := peers.direct.storeAnswered()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	peers.ownAnswerTimes = appendAnswer(peers.ownAnswerTimes, at)
	return at
}

// storeServedSince returns since when the store has answered this entry or peers without a gap up to
// now; zero means that it doesn't.
func (peers *peers) storeServedSince() timekeeper.Instant {
	now := peers.direct.clock.Now()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	times := slices.Concat(peers.answerTimes, peers.ownAnswerTimes)
	slices.Sort(times)
	return follower.ServedSince(times, 0, now)
}

// servedSince returns since when the store has answered peers without a gap up to now,
// counting only answers after from, when it stopped answering this entry. Zero means that
// it does not answer them now. See follower.ServedSince.
func (peers *peers) servedSince(from timekeeper.Instant) timekeeper.Instant {
	now := peers.direct.clock.Now()
	peers.mu.Lock()
	defer peers.mu.Unlock()
	return follower.ServedSince(peers.answerTimes, from, now)
}

func (peers *peers) fetchConfiguration(ctx context.Context, address string) (platform.Document, error) {
	raw, err := peers.fetch(ctx, address, pathConfiguration)
	if err != nil {
		return platform.Document{}, err
	}
	return platform.DecodeConfiguration(raw)
}

// fetch returns what a peer serves at a path.
func (peers *peers) fetch(ctx context.Context, address, path string) ([]byte, error) {
	fetched, err := peers.get(ctx, address, path)
	if err == nil && fetched.status != http.StatusOK {
		return nil, eris.Errorf("status %d", fetched.status)
	}
	return fetched.body, err
}

// fetched is a peer's answer.
type fetched struct {
	status int
	header http.Header
	body   []byte
}

// get returns a peer's answer at a path.
func (peers *peers) get(ctx context.Context, address, path string) (fetched, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return fetched{}, err
	}
	response, err := peers.client.Do(request)
	if err != nil {
		return fetched{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fetched{status: response.StatusCode, header: response.Header}, nil
	}
	body, err := limiter.ReadAll(response.Body, maxFetchBytes)
	return fetched{status: response.StatusCode, header: response.Header, body: body}, err
}

// ServeHTTP sends a peer the configuration in force or the list of replicas. It answers
// 503 while maxTransfers other copies are being sent.
func (peers *peers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A peer that doesn't read would keep its transfer from others. The connection is closed, as its
	// next answer would have the same deadline.
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetWriteDeadline(timekeeper.In(transferTimeout))
	switch {
	case r.URL.Path == pathState:
		peers.serveState(w, r)
		return
	case strings.HasPrefix(r.URL.Path, PathQuarantine):
		peers.direct.serveQuarantine(w, r)
		return
	case r.URL.Path == PathShares:
		peers.direct.serveShares(w, r)
		return
	}
	if r.URL.Path == pathReplicas && peers.hasSameList(w, r) {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if !peers.transfers.begin() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer peers.transfers.end()
	var text []byte
	switch r.URL.Path {
	case pathConfiguration:
		if document := peers.direct.document.Load(); document != nil {
			text = document.Raw
		}
	case pathReplicas:
		text = peers.encodeReplicaList()
	}
	if text == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(text)
}
