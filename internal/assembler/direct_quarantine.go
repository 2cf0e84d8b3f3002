package assembler

import (
	"context"
	"slices"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/internal/relayer"
	"github.com/trefoilseam/trefoilseam/platform"
)

// crashSharing returns how this entry shares what it knows of crashes with its peers and the store.
func (direct *Direct) crashSharing() relayer.CrashSharing {
	send := direct.peers.gossiper
	return relayer.CrashSharing{
		OnCrash: func(incarnation string, inFlight []quarantiner.Feature) {
			crash := gossiper.Crash{Incarnation: incarnation}
			for _, feature := range inFlight {
				if feature.Kind == quarantiner.Request {
					send.SendStrike(gossiper.Strike{Request: feature.ID, Replica: incarnation})
					continue
				}
				crash.Parts = append(crash.Parts, feature.ID)
			}
			if len(crash.Parts) > 0 {
				send.SendCrash(crash)
			}
		},
		OnSurvival: send.SendSurvival,
		OnTrial:    send.SendTrial,
		OnFailedTrial: func(incarnation string, parts []quarantiner.Feature) {
			send.SendCrash(gossiper.Crash{Incarnation: incarnation, TriedParts: idsOf(parts)})
		},
		OnQuarantine: func(quarantiner.Quarantine) {
			send.SendQuarantine()
			direct.quarantines.trigger()
		},
		Rank: direct.trialRank,
	}
}

func idsOf(parts []quarantiner.Feature) []uint64 {
	ids := make([]uint64, 0, len(parts))
	for _, part := range parts {
		ids = append(ids, part.ID)
	}
	return ids
}

// trialRank returns how many live entries may try a suspected part before this one, by the highest
// hash of entry and part.
func (direct *Direct) trialRank(part quarantiner.Feature) (rank int) {
	weight := func(address string) uint64 { return xxhash.Sum64String(part.String() + " " + address) }
	own := weight(addressOf(direct.listeners.peer))
	for _, peer := range direct.peers.gossiper.LivePeers() {
		if weight(peer) > own {
			rank++
		}
	}
	return rank
}

// applyCrashes applies what a peer says about crashes.
func (direct *Direct) applyCrashes(digest gossiper.Digest) {
	for _, quarantine := range digest.Quarantined {
		direct.frontend.Quarantine(quarantine, "peer "+digest.Address)
	}
	for _, strike := range digest.Strikes {
		request := []quarantiner.Feature{{Kind: quarantiner.Request, ID: strike.Request}}
		direct.frontend.RecordCrash(strike.Replica, request, digest.Address)
	}
	for _, crash := range digest.Crashes {
		direct.frontend.RecordCrash(crash.Incarnation, gossiper.PartFeatures(crash.Parts), digest.Address)
		if len(crash.TriedParts) > 0 {
			direct.frontend.RecordFailedTrial(gossiper.PartFeatures(crash.TriedParts), crash.Incarnation)
		}
	}
	if len(digest.Tried) > 0 {
		direct.frontend.RecordTrial(digest.Tried)
	}
	if len(digest.Survived) > 0 {
		direct.frontend.RecordSurvival(digest.Survived)
	}
}

// quarantines keeps the quarantined parts and requests in the store, for entries that start when all others have
// been killed.
type quarantines struct {
	direct *Direct
	store  *platform.Store
	// triggered has an element if this entry has quarantined a feature.
	triggered chan struct{}

	mu sync.Mutex
	// written is what the store has in writtenEra, as far as this entry knows.
	written    map[quarantiner.Feature]writtenQuarantine
	writtenEra uint64
}

// writtenQuarantine is what a row says of a feature.
type writtenQuarantine struct {
	lapses int
	lifted bool
}

func newQuarantines(direct *Direct, store *platform.Store) *quarantines {
	return &quarantines{direct: direct, store: store, triggered: make(chan struct{}, 1), written: map[quarantiner.Feature]writtenQuarantine{}}
}

// trigger makes this entry write what it has quarantined at once.
func (quarantines *quarantines) trigger() {
	select {
	case quarantines.triggered <- struct{}{}:
	default:
	}
}

// recall applies what earlier entries wrote into the store.
func (quarantines *quarantines) recall(registry platform.Registry) {
	now := quarantines.direct.clock.Now()
	// They are applied first: a written row of which this entry knows nothing is removed.
	defer func() {
		quarantines.mu.Lock()
		defer quarantines.mu.Unlock()
		quarantines.enterEra(registry.Era)
		for _, row := range registry.Quarantined {
			quarantines.written[featureOf(row)] = writtenQuarantine{lapses: row.Lapses, lifted: row.Lifted}
		}
	}()
	for _, row := range registry.Quarantined {
		quarantines.direct.frontend.Quarantine(quarantiner.Quarantine{
			Feature: featureOf(row), Since: now.Add(-row.For), Lapses: row.Lapses, Lifted: row.Lifted,
		}, "store")
	}
}

// featureOf returns the feature that a row is about.
func featureOf(row platform.Quarantined) quarantiner.Feature {
	if row.Request {
		return quarantiner.Feature{Kind: quarantiner.Request, ID: row.ID}
	}
	return quarantiner.Feature{Kind: quarantiner.Part, ID: row.ID}
}

// run writes what the store lacks: at once what this entry has quarantined, and all else while it is a
// primary.
func (quarantines *quarantines) run(ctx context.Context) {
	for ctx.Err() == nil {
		own := false
		fired, release := quarantines.direct.clock.After(writeInterval)
		select {
		case <-ctx.Done():
		case <-quarantines.triggered:
			own = true
		case <-fired:
		}
		release()
		if own || quarantines.direct.peers.isPrimary() {
			for _, quarantine := range quarantines.unwritten() {
				quarantines.write(ctx, quarantine)
			}
			for _, feature := range quarantines.outdated() {
				quarantines.remove(ctx, feature)
			}
		}
	}
}

// enterEra forgets what was written in another era of the store, which may have lost it. The caller
// holds the lock.
func (quarantines *quarantines) enterEra(era uint64) {
	if era != quarantines.writtenEra {
		clear(quarantines.written)
		quarantines.writtenEra = era
	}
}

// unwritten returns what the store lacks.
func (quarantines *quarantines) unwritten() []quarantiner.Quarantine {
	all := quarantines.direct.frontend.Quarantined()
	era, _ := quarantines.direct.eras.Known()
	quarantines.mu.Lock()
	defer quarantines.mu.Unlock()
	quarantines.enterEra(era)
	return slices.DeleteFunc(all, func(quarantine quarantiner.Quarantine) bool {
		written, found := quarantines.written[quarantine.Feature]
		return found && written == writtenQuarantine{lapses: quarantine.Lapses, lifted: quarantine.Lifted}
	})
}

// outdated returns the requests of which the store has a row that no entry needs any more.
func (quarantines *quarantines) outdated() (outdated []quarantiner.Feature) {
	known := map[quarantiner.Feature]bool{}
	for _, quarantine := range quarantines.direct.frontend.Quarantined() {
		known[quarantine.Feature] = true
	}
	quarantines.mu.Lock()
	defer quarantines.mu.Unlock()
	for feature := range quarantines.written {
		if feature.Kind == quarantiner.Request && !known[feature] {
			outdated = append(outdated, feature)
		}
	}
	return outdated
}

func (quarantines *quarantines) remove(ctx context.Context, feature quarantiner.Feature) {
	row := platform.Quarantined{ID: feature.ID, Request: true}
	if err := platform.RemoveQuarantine(ctx, quarantines.store, row); err != nil {
		quarantines.logFeature(feature).WithField(labelCause, err.Error()).Warn("quarantine not removed")
		return
	}
	quarantines.mu.Lock()
	defer quarantines.mu.Unlock()
	delete(quarantines.written, feature)
}

func (quarantines *quarantines) logFeature(feature quarantiner.Feature) logrus.FieldLogger {
	name := map[quarantiner.Kind]string{quarantiner.Request: "fingerprint", quarantiner.Part: "part"}[feature.Kind]
	return quarantines.direct.log.WithField(name, strconv.FormatUint(feature.ID, 16))
}

func (quarantines *quarantines) write(ctx context.Context, quarantine quarantiner.Quarantine) {
	row := platform.Quarantined{
		ID: quarantine.Feature.ID, Request: quarantine.Feature.Kind == quarantiner.Request,
		For: quarantines.direct.clock.Now().Since(quarantine.Since), Lapses: quarantine.Lapses, Lifted: quarantine.Lifted,
	}
	log := quarantines.logFeature(quarantine.Feature)
	if err := platform.WriteQuarantine(ctx, quarantines.store, row); err != nil {
		log.WithField(labelCause, err.Error()).Warn("quarantine not written")
		return
	}
	log.Info("quarantine written")
	quarantines.mu.Lock()
	defer quarantines.mu.Unlock()
	quarantines.written[quarantine.Feature] = writtenQuarantine{lapses: quarantine.Lapses, lifted: quarantine.Lifted}
}
