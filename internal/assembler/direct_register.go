package assembler

import (
	"context"
	"math/rand/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

const (
	// minRegisterBackoff and maxRegisterBackoff bound the time between two attempts to
	// register.
	minRegisterBackoff = 150 * timekeeper.Millisecond
	maxRegisterBackoff = 3 * timekeeper.Second
	// registrationRate is how many entries register again in a second, together, after the store
	// came back from a copy: a write and a read each. The store takes several hundred writes a
	// second, and the replicas write their rows again at the same time.
	registrationRate = 50
)

// register keeps the entry's address in the store, which may come back from a copy that lacks it.
func (peers *peers) register(ctx context.Context) {
	peers.waitForFirstAnswer(ctx)
	for ctx.Err() == nil {
		era := peers.registerOnce(ctx)
		peers.waitForEraAfter(ctx, era)
		spread := timekeeper.Second * timekeeper.Span(peers.recentEntries()) / registrationRate
		_ = peers.direct.clock.Sleep(ctx, timekeeper.Span(rand.Int64N(int64(spread)+1)))
	}
}

// registerOnce writes the entry's address into the store, then reads the addresses of the other
// entries, with retries, and returns the era of the write. In this order, of two entries that
// start together at least one reads the address of the other.
func (peers *peers) registerOnce(ctx context.Context) (era uint64) {
	backoff := minRegisterBackoff
	for {
		era, err := peers.tryRegister(ctx)
		if err == nil || ctx.Err() != nil {
			return era
		}
		peers.startUnregistered(ctx)
		peers.direct.log.WithField(labelCause, err.Error()).Warn("entry not registered yet")
		if peers.direct.clock.Sleep(ctx, backoff) != nil {
			return era
		}
		backoff = min(2*backoff, maxRegisterBackoff)
	}
}

func (peers *peers) tryRegister(ctx context.Context) (era uint64, err error) {
	era, err = platform.Register(ctx, peers.store, peers.self())
	if err != nil {
		return 0, err
	}
	registry, err := platform.ReadRegistry(ctx, peers.store)
	if err != nil {
		return 0, err
	}
	entries := registry.Entries
	peers.direct.versions.recall(registry)
	peers.direct.quarantines.recall(registry)
	for _, entry := range entries {
		peers.gossiper.AddPeer(entry.PeerAddress)
	}
	now := peers.direct.clock.Now()
	if !peers.coldSharing.registered() {
		peers.election.startDiscovery(len(entries), now)
	}
	peers.coldSharing.recordRegistered(now)
	peers.direct.log.WithField("entries", len(entries)).WithField(labelEra, era).Info("entry registered")
	peers.start(ctx, entries, registry.Era)
	return era, nil
}

// self returns this entry as it registers.
func (peers *peers) self() platform.Entry {
	direct := peers.direct
	entry := platform.Entry{Name: direct.settings.Name, PeerAddress: addressOf(direct.listeners.peer)}
	entry.Era, _ = direct.eras.Known()
	if returnedAt := timekeeper.Instant(direct.returnedAt.Load()); returnedAt != 0 {
		entry.SinceReturn = max(1, direct.clock.Now().Since(returnedAt))
	}
	return entry
}

// waitForEraAfter waits until the store is known to have come back in a later era.
func (peers *peers) waitForEraAfter(ctx context.Context, era uint64) {
	for ctx.Err() == nil {
		newest, _ := peers.direct.eras.Known()
		if newest > era && !peers.direct.readiness.stopping.Load() {
			return
		}
		select {
		case <-ctx.Done():
		case <-peers.eraLearnt:
		}
	}
}

// unregister removes the entry's address from the store. It runs while the last calls
// end, so that waiting for the store does not delay the stop.
func (peers *peers) unregister(ctx context.Context) {
	if err := platform.Unregister(ctx, peers.store, peers.direct.settings.Name); err != nil {
		peers.direct.log.WithField(labelCause, err.Error()).Warn("entry's address stays in the store")
	}
}
