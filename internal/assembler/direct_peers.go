package assembler

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

const (
	// pathConfiguration is where an entry gives its peers the configuration that
	// it has in force, as the operator wrote it.
	pathConfiguration = "/v1/configuration"
	// pathReplicas is where it gives them its list of replicas.
	pathReplicas = "/v1/replicas"
	// fetchLimit bounds a configuration from a peer, in bytes.
	fetchLimit = 16 << 20
	// firstRegister and lastRegister bound the time between two tries to register.
	firstRegister = 150 * timekeeper.Millisecond
	lastRegister  = 3 * timekeeper.Second
)

// fellows are the other entries: what is heard of them, and what is fetched.
type fellows struct {
	direct   *Direct
	store    *platform.Store
	gossiper *gossiper.Gossiper
	client   *http.Client

	turns    turns
	sharing  sharing
	transfer transfers
	// notice is until when peers are told of evacuations that have ended.
	notice notice

	mu       sync.Mutex
	fetching bool
	// offered is the peer to fetch a newer configuration from, wanted the newest version
	// that was offered, and wantedSince since when one that this entry lacks is known.
	offered     offer
	wanted      uint64
	wantedSince timekeeper.Instant
	// served are instants at which the store answered peers, in order.
	served []timekeeper.Instant
}

// newFellows returns the side of the process that other entries see.
func newFellows(direct *Direct, store *platform.Store, conn net.PacketConn) (*fellows, func()) {
	dialer := &net.Dialer{Timeout: fetchPatience.Duration(), Control: connector.UserTimeoutControl(fetchPatience)}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	fellows := &fellows{direct: direct, store: store, client: &http.Client{Transport: transport}}
	fellows.gossiper = gossiper.New(gossiper.Settings{
		Incarnation: newIncarnation(), DataCentre: direct.settings.DataCentre, Clock: direct.clock, Log: direct.log,
		Scope: direct.scope, Conn: conn, InFlight: direct.held, Version: direct.version, OnDigest: fellows.hear,
		StoreAnswered: direct.storeAnswered, StoreFailing: direct.storeFailing,
		ListSummary: func() (follower.Summary, bool) { return direct.replicas.Summary() },
		Evacuations: fellows.evacuations,
	})
	return fellows, transport.CloseIdleConnections
}

// readers returns how many entries read the store and tell each other.
func (fellows *fellows) readers() int { return 1 + len(fellows.gossiper.LivePeers()) }

// held returns what this entry has under way.
func (direct *Direct) held() (held map[balancer.Key]balancer.InFlight) {
	direct.fleet.With(func(fleet *balancer.Fleet) { held = fleet.InFlight() })
	return held
}

// storeAnswered returns when the store answered last; zero means never.
func (direct *Direct) storeAnswered() timekeeper.Instant {
	return max(direct.replicas.LastAnswered(), direct.orders.LastAnswered())
}

// storeFailing reports whether the store did not answer the last call.
func (direct *Direct) storeFailing() bool {
	return direct.replicas.Failing() || direct.orders.Failing()
}

// version returns the version in force; zero means that none is known.
func (direct *Direct) version() uint64 {
	if document := direct.document.Load(); document != nil {
		return document.Config.Version()
	}
	return 0
}

// register writes the entry's address into the store, then reads those of the
// others: of two entries that start together at least one reads the other.
func (fellows *fellows) register(ctx context.Context) {
	pause := firstRegister
	for {
		err := fellows.tryRegister(ctx)
		if err == nil || ctx.Err() != nil {
			break
		}
		fellows.direct.log.WithField(labelCause, err.Error()).Warn("entry not registered yet")
		if fellows.direct.clock.Sleep(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, lastRegister)
	}
	// The end of an actor would end the process.
	<-ctx.Done()
}

func (fellows *fellows) tryRegister(ctx context.Context) error {
	settings := fellows.direct.settings
	if err := platform.Register(ctx, fellows.store, settings.Name, addressOf(fellows.direct.listeners.peers)); err != nil {
		return err
	}
	addresses, err := platform.Entries(ctx, fellows.store)
	if err != nil {
		return err
	}
	for _, address := range addresses {
		fellows.gossiper.AddPeer(address)
	}
	fellows.turns.introduce(len(addresses), fellows.direct.clock.Now())
	fellows.sharing.registered(fellows.direct.clock.Now())
	fellows.direct.log.WithField("entries", len(addresses)).Info("entry registered")
	return nil
}

// leave takes the entry's address out of the store, while the last calls end: what it
// waits for the store must not keep a stopping entry beyond its time.
func (fellows *fellows) leave(ctx context.Context) {
	if err := platform.Unregister(ctx, fellows.store, fellows.direct.settings.Name); err != nil {
		fellows.direct.log.WithField(labelCause, err.Error()).Warn("entry's address stays in the store")
	}
}

// hear takes in what a peer tells.
func (fellows *fellows) hear(heard gossiper.Digest) {
	now := fellows.direct.clock.Now()
	// Before the configuration that comes with it: an entry that knows one takes callers.
	if heard.Evacuations != nil {
		fellows.direct.hearEvacuations(*heard.Evacuations, heard.Address)
	}
	fellows.direct.fleet.With(func(fleet *balancer.Fleet) {
		fleet.SetPeerInFlight(heard.Address, heard.InFlight, heard.Lifetime, now)
		for _, placed := range heard.Placements {
			fleet.RecordCached(placed.Replica, placed.Parts, now)
		}
		for _, cold := range heard.Cold {
			fleet.MarkCold(cold.Replica, cold.Until)
		}
		for _, replica := range heard.Unreachable {
			fleet.MarkUnreachable(replica, now)
		}
	})
	fellows.hearLeaves(heard, now)
	for _, strike := range heard.Strikes {
		fellows.direct.front.RecordStrike(strike.Request, strike.Replica)
	}
	fellows.noteServed(heard.StoreAnswered)
	for _, news := range heard.ListChanges {
		fellows.direct.replicas.ApplyUpdate(news)
	}
	if heard.ListSummary != nil {
		fellows.turns.noteReader(heard.Address)
		fellows.direct.replicas.Compare(*heard.ListSummary)
	}
	if heard.Configuration > fellows.direct.version() {
		fellows.offer(offer{address: heard.Address, version: heard.Configuration, sameCentre: heard.SameDataCentre})
	}
}

// hearLeaves takes in which replicas leave, as a peer has read or was told by themselves.
func (fellows *fellows) hearLeaves(heard gossiper.Digest, now timekeeper.Instant) {
	var leaves []gossiper.Leave
	var announced []string
	fellows.direct.fleet.With(func(fleet *balancer.Fleet) {
		for _, leave := range heard.Leaves {
			if fleet.MarkLeaving(leave.Replica, leave.Version) {
				leaves = append(leaves, leave)
			}
		}
		for _, incarnation := range heard.LeaveAnnounced {
			if fleet.AnnounceLeave(incarnation, now) {
				announced = append(announced, incarnation)
			}
		}
	})
	for _, leave := range leaves {
		fellows.direct.log.WithFields(logrus.Fields{
			labelReplica: leave.Replica, "version": leave.Version, "peer": heard.Address,
		}).Info("replica leaves, as a peer saw")
	}
	for _, incarnation := range announced {
		fellows.direct.log.WithFields(logrus.Fields{
			labelReplica: balancer.IDOf(incarnation), "incarnation": incarnation, "peer": heard.Address,
		}).Info("replica leaves, as it told a peer")
	}
}

const (
	// servedStep and mostServed bound what is remembered of the store's answers to
	// peers: a minute of it.
	servedStep = 250 * timekeeper.Millisecond
	mostServed = 240
)

// noteServed notes when the store answered a peer.
func (fellows *fellows) noteServed(at timekeeper.Instant) {
	fellows.mu.Lock()
	defer fellows.mu.Unlock()
	if count := len(fellows.served); count > 0 && at < fellows.served[count-1].Add(servedStep) {
		return
	}
	fellows.served = append(fellows.served, at)
	if len(fellows.served) > mostServed {
		fellows.served = fellows.served[1:]
	}
}

// othersServed returns since when the store has served peers, after an instant at which
// it stopped answering this entry; zero means that it does not. See follower.ServedSince.
func (fellows *fellows) othersServed(from timekeeper.Instant) timekeeper.Instant {
	now := fellows.direct.clock.Now()
	fellows.mu.Lock()
	defer fellows.mu.Unlock()
	return follower.ServedSince(fellows.served, from, now)
}

func (fellows *fellows) get(ctx context.Context, address string) (platform.Document, error) {
	raw, err := fellows.read(ctx, address, pathConfiguration)
	if err != nil {
		return platform.Document{}, err
	}
	return platform.DecodeConfiguration(raw)
}

// read asks a peer for something.
func (fellows *fellows) read(ctx context.Context, address, path string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	response, err := fellows.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("status %d", response.StatusCode)
	}
	return io.ReadAll(io.LimitReader(response.Body, fetchLimit))
}

// errNoCopy means that no peer has a list of replicas.
var errNoCopy = eris.New("no peer has a list of replicas")

// copyReplicas asks peers for their list of replicas, until one has it.
func (fellows *fellows) copyReplicas(ctx context.Context) ([]follower.Change[balancer.Replica], follower.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchPatience.Duration())
	defer cancel()
	peers := fellows.gossiper.LivePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	if reader := fellows.turns.reader(); slices.Contains(peers, reader) {
		peers = slices.Insert(peers, 0, reader)
	}
	for _, peer := range peers {
		raw, err := fellows.read(ctx, peer, pathReplicas)
		if err != nil {
			continue
		}
		list, err := gossiper.DecodeReplicas(raw, fellows.direct.clock.Now())
		if err != nil {
			fellows.direct.log.WithFields(logrus.Fields{"peer": peer, labelCause: err.Error()}).Warn("list of replicas can't be read")
			continue
		}
		rows := make([]follower.Change[balancer.Replica], len(list.Replicas))
		for i, replica := range list.Replicas {
			rows[i] = follower.Change[balancer.Replica]{Key: replica.ID, Value: replica, Lapses: list.Lapses[replica.ID]}
		}
		return rows, follower.Version(list.Version), nil
	}
	return nil, 0, errNoCopy
}

// encoded returns the list of replicas for a peer, or nil if there is none.
func (fellows *fellows) encoded() []byte {
	rows, version, known := fellows.direct.replicas.Rows()
	if !known {
		return nil
	}
	list := gossiper.ReplicaList{Version: uint64(version), Lapses: map[string]timekeeper.Span{}}
	for _, row := range rows {
		list.Replicas = append(list.Replicas, row.Value)
		list.Lapses[row.Key] = row.Lapses
	}
	text, err := list.Encode(fellows.direct.clock.Now())
	if err != nil {
		fellows.direct.log.WithField(labelCause, err.Error()).Error("list of replicas can't be written")
		return nil
	}
	return text
}

// ServeHTTP gives a peer the configuration in force, or the list of replicas.
func (fellows *fellows) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !fellows.transfer.begin() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer fellows.transfer.end()
	var text []byte
	switch r.URL.Path {
	case pathConfiguration:
		if document := fellows.direct.document.Load(); document != nil {
			text = document.Raw
		}
	case pathReplicas:
		text = fellows.encoded()
	}
	if text == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(text)
}
