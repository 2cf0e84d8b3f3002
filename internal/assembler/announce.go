package assembler

import (
	"context"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// announcePollInterval bounds the delay until a new revision is announced.
	announcePollInterval = 500 * timekeeper.Millisecond
	// reannounceInterval is the time between announcements of the same revision. They
	// are repeated since the agent that received one may have gone.
	reannounceInterval = 20 * timekeeper.Second
)

// announcer sends agents, one at a time, the revision that an entry has in force.
// Entries are on no instance list, so an operator who waits for a change to be in
// force finds them through agents. One small message per change and every 20 seconds
// costs an entry a few bytes a second, and the store nothing.
type announcer struct {
	name        string
	pool        *dialer.Pool
	agents      func() []string
	revision    func() uint64
	announced   uint64
	announcedAt timekeeper.Instant
	next        int
}

func (announcer *announcer) run(ctx context.Context, clock timekeeper.Clock) {
	clock.Every(ctx, func() timekeeper.Span { return announcePollInterval }, func(ctx context.Context) {
		announcer.announceIfDue(ctx, clock.Now())
	})
}

// announceIfDue sends a new revision, or one whose announcement is due again, to the
// next agent in turn.
func (announcer *announcer) announceIfDue(ctx context.Context, now timekeeper.Instant) {
	revision, agents := announcer.revision(), announcer.agents()
	if len(agents) == 0 || revision == announcer.announced && now.Since(announcer.announcedAt) < reannounceInterval {
		return
	}
	announcer.next++
	address := agents[announcer.next%len(agents)]
	ask := &encoder.DigestAsk{Asker: announcer.name, Revision: revision}
	if _, err := publisher.Exchange(ctx, announcer.pool, address, ask); err == nil {
		announcer.announced, announcer.announcedAt = revision, now
	}
}
