package assembler

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// announceLook is how soon a new revision is announced.
	announceLook = 500 * timekeeper.Millisecond
	// announceEvery is how often a revision is announced again, since the agent
	// that was told may have gone.
	announceEvery = 20 * timekeeper.Second
)

// announcer tells an agent which revision an entry has in force. Entries stand
// on no list, so an operator who waits for a change finds them through agents.
// One small message for each change and every 20 seconds costs an entry a few
// bytes a second, and the store nothing.
type announcer struct {
	name      string
	pool      *dialer.Pool
	peers     func() []string
	revision  func() uint64
	announced uint64
	at        timekeeper.Instant
	turn      int
}

func (announcer *announcer) run(ctx context.Context, clock timekeeper.Clock) {
	clock.Every(ctx, func() timekeeper.Span { return announceLook }, func(ctx context.Context) {
		announcer.look(ctx, clock.Now())
	})
}

// look tells the next agent in turn when there is something to tell.
func (announcer *announcer) look(ctx context.Context, now timekeeper.Instant) {
	revision, peers := announcer.revision(), announcer.peers()
	if len(peers) == 0 || revision == announcer.announced && now.Since(announcer.at) < announceEvery {
		return
	}
	announcer.turn++
	address := peers[announcer.turn%len(peers)]
	ask := &encoder.DigestAsk{Asker: announcer.name, Revision: revision}
	if _, err := publisher.Exchange(ctx, announcer.pool, address, ask); err == nil {
		announcer.announced, announcer.at = revision, now
	}
}
