package assembler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

const (
	// returnIsRecent is how long after its return the store may lack what entries know.
	returnIsRecent = 20 * timekeeper.Second
	// startPeers is how many peers an entry asks that starts soon after a return of the store, and
	// stateTimeout how long it waits for them.
	startPeers   = 3
	stateTimeout = 300 * timekeeper.Millisecond
	// maxStartWait is how long an entry that can't register, and hears of no peer that serves, waits
	// before it serves.
	maxStartWait = timekeeper.Second
	// firstAnswerPoll is how often an entry that starts checks whether the store has answered.
	firstAnswerPoll = 2 * timekeeper.Millisecond
)

// startGate keeps an entry from serving until it has heard of a peer that its configuration is as
// new, or has registered and asked peers if the store may lack what they know. The zero value is
// open.
type startGate struct{ closedAt atomic.Int64 }

func (gate *startGate) close(now timekeeper.Instant) { gate.closedAt.Store(int64(now)) }

// open returns when the gate was closed; zero means that it was open.
func (gate *startGate) open() timekeeper.Instant { return timekeeper.Instant(gate.closedAt.Swap(0)) }

func (gate *startGate) isClosed() bool { return gate.closedAt.Load() != 0 }

// offeredVersion returns the version that peers may rely on: none before this entry serves, since
// the store may have given it one that is out of force.
func (direct *Direct) offeredVersion() uint64 {
	if direct.startGate.isClosed() {
		return 0
	}
	return direct.version()
}

// openStartGate lets the entry serve, and says why. asked is how many peers it has asked before.
func (direct *Direct) openStartGate(cause string, asked int) {
	if closedAt := direct.startGate.open(); closedAt != 0 {
		direct.log.WithFields(logrus.Fields{
			labelCause: cause, "configuration": direct.version(), "peers-asked": asked, "waited-ms": int64(direct.clock.Now().Since(closedAt)),
		}).Info("entry may serve")
	}
}

// waitForFirstAnswer waits until the store has answered this entry, so that it knows the era that
// it registers in, or fails.
func (peers *peers) waitForFirstAnswer(ctx context.Context) {
	for peers.direct.storeAnswered() == 0 && !peers.direct.storeFailing() {
		if peers.direct.clock.Sleep(ctx, firstAnswerPoll) != nil {
			return
		}
	}
}

// start opens the start gate. Soon after a return of the store it first asks some of the other
// entries for what the store may lack.
func (peers *peers) start(ctx context.Context, entries []platform.Entry, era uint64) {
	if !peers.direct.startGate.isClosed() {
		return
	}
	var others []string
	if returnedRecently(entries, peers.direct.settings.Name, era) {
		others = peers.someOthers(entries)
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout.Duration())
	defer cancel()
	var asked sync.WaitGroup
	for _, address := range others {
		asked.Go(func() { peers.learnFrom(ctx, address) })
	}
	asked.Wait()
	peers.direct.openStartGate("rows of entries read", len(others))
}

// startUnregistered opens the start gate of an entry whose registration has failed. The rows tell
// whether the store returned, also if only the answer to the write was lost.
func (peers *peers) startUnregistered(ctx context.Context) {
	closedAt := timekeeper.Instant(peers.direct.startGate.closedAt.Load())
	if closedAt == 0 {
		return
	}
	registry, err := platform.ReadRegistry(ctx, peers.store)
	switch {
	case err == nil:
		peers.direct.quarantines.recall(registry)
		peers.start(ctx, registry.Entries, registry.Era)
	case peers.direct.clock.Now().Since(closedAt) >= maxStartWait:
		peers.direct.openStartGate("not registered", 0)
	}
}

// returnedRecently reports whether the store may have come back in its era just now. An entry that
// has seen the return says so in its row. Until most entries have registered in the era, the rows
// are those of the copy.
func returnedRecently(entries []platform.Entry, own string, era uint64) bool {
	earlier, current := 0, 0
	for _, entry := range entries {
		switch {
		case entry.Name == own || entry.Era == 0:
		case entry.Era < era:
			earlier++
		case entry.SinceReturn > 0 && entry.SinceReturn < returnIsRecent:
			return true
		default:
			current++
		}
	}
	return earlier > current
}

// someOthers returns the addresses of up to startPeers other entries.
func (peers *peers) someOthers(entries []platform.Entry) (others []string) {
	for _, number := range rand.Perm(len(entries)) {
		entry := entries[number]
		if entry.Name != peers.direct.settings.Name && len(others) < startPeers {
			others = append(others, entry.PeerAddress)
		}
	}
	return others
}

// learnFrom applies what a peer knows, and its configuration if that is newer.
func (peers *peers) learnFrom(ctx context.Context, address string) {
	era, _ := peers.direct.eras.Known()
	raw, err := peers.fetch(ctx, address, pathState+"?era="+strconv.FormatUint(era, 10))
	if err != nil {
		peers.direct.log.WithFields(logrus.Fields{labelPeer: address, labelCause: err.Error()}).Warn("state not fetched")
		return
	}
	state, err := peers.gossiper.DecodeState(raw, address)
	if err != nil {
		peers.direct.log.WithFields(logrus.Fields{labelPeer: address, labelCause: err.Error()}).Warn("state not fetched")
		return
	}
	peers.direct.learnEra(state.StoreEra, "peer "+address)
	peers.direct.applyRetention(state.Retention, "peer "+address)
	peers.direct.applyCrashes(state)
	if state.Evacuations != nil {
		peers.direct.applyPeerEvacuations(*state.Evacuations, address)
	}
	if state.Configuration <= peers.direct.version() {
		return
	}
	document, err := peers.fetchConfiguration(ctx, address)
	if err != nil {
		peers.direct.log.WithFields(logrus.Fields{labelPeer: address, labelCause: err.Error()}).Warn("configuration not fetched")
		return
	}
	peers.direct.applyConfiguration(document, "peer "+address)
}

// serveState answers learnFrom. The peer's era comes first: it may know of a return that this entry
// has not noticed yet, and so holds nothing against.
func (peers *peers) serveState(w http.ResponseWriter, r *http.Request) {
	era, err := strconv.ParseUint(r.URL.Query().Get("era"), 10, 64)
	if err != nil {
		http.Error(w, "era is not a number", http.StatusBadRequest)
		return
	}
	peers.direct.learnEra(era, "peer "+r.RemoteAddr)
	text, err := peers.gossiper.State()
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(text)
}
