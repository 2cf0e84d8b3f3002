package runner

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// handOverWorkers is how many chats are handed over at once: half of what
	// another replica takes, so that two that leave don't shut each other out.
	handOverWorkers = mostTransfers / 2
	// longestHandOver bounds a hand-over whatever the longest drain is. What is
	// not handed over by then costs a cold prefix, while platforms end processes
	// that leave too slowly by force.
	longestHandOver = 20 * timekeeper.Second
)

// giver hands the chats of a leaving replica to others.
type giver struct {
	agent *Agent
	// left is how many bytes may still be sent.
	left                    atomic.Int64
	prefixes, pointers, not atomic.Int64
}

// handOver hands over what this replica knows, in the background: first the
// chats at rest, and once the returned function is called those that were
// running. The function returns when all is handed over or the time is up.
func (agent *Agent) handOver(ctx context.Context) func() {
	agent.mu.Lock()
	able := agent.fetches()
	giver := &giver{agent: agent}
	giver.left.Store(agent.service.MaxHandOverBytes)
	agent.mu.Unlock()
	if !able {
		return func() {}
	}
	started := agent.settings.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, longestHandOver.Duration())
	resting, running := agent.movesOf()
	atRest := make(chan struct{})
	go func() {
		defer close(atRest)
		giver.give(ctx, resting)
	}()
	return func() {
		defer cancel()
		<-atRest
		giver.give(ctx, running)
		giver.log(agent.settings.Clock.Now().Since(started))
	}
}

// movesOf returns what is to be handed over, apart for chats that run now.
func (agent *Agent) movesOf() (resting, running []placer.Move) {
	rest := agent.settings.Peers().Without(agent.settings.Name)
	agent.mu.Lock()
	defer agent.mu.Unlock()
	var busy []uint64
	for _, run := range agent.runs {
		if run.ended == 0 && !run.tomb {
			busy = append(busy, run.chat)
		}
	}
	for _, move := range agent.places.Handover(rest, placer.DirectorySize) {
		if slices.Contains(busy, move.Chat) {
			running = append(running, move)
			continue
		}
		resting = append(resting, move)
	}
	return resting, running
}

// give hands over moves with a few workers until ctx ends.
func (giver *giver) give(ctx context.Context, moves []placer.Move) {
	var workers sync.WaitGroup
	defer workers.Wait()
	next := make(chan placer.Move)
	defer close(next)
	for range min(handOverWorkers, len(moves)) {
		workers.Go(func() {
			for move := range next {
				giver.one(ctx, move)
			}
		})
	}
	for _, move := range moves {
		select {
		case next <- move:
		case <-ctx.Done():
			return
		}
	}
}

// one hands over a chat: its pointer, or its prefix to the first replica that
// has room for it. A chat that isn't at its home then has a pointer there.
func (giver *giver) one(ctx context.Context, move placer.Move) {
	home := move.To[0]
	if move.Holder != "" {
		giver.point(ctx, home, move, move.Holder)
		return
	}
	if giver.left.Load() <= 0 {
		giver.not.Add(1)
		return
	}
	body, err := giver.agent.upstream.exportPrefix(ctx, move.Chat, false)
	if err != nil || giver.left.Add(-int64(len(body))) < 0 {
		giver.not.Add(1)
		return
	}
	message := &encoder.PrefixBody{Chat: move.Chat, Body: body, Tokens: move.Tokens}
	for i, replica := range move.To {
		frame, err := giver.agent.askPeer(ctx, replica, message)
		if err != nil || frame.GetPointerAnswer().GetInstance() == "" {
			continue
		}
		giver.prefixes.Add(1)
		if i > 0 {
			giver.point(ctx, home, move, replica.Name)
		}
		return
	}
	giver.not.Add(1)
}

// point tells the home of a chat where it ran.
func (giver *giver) point(ctx context.Context, home placer.Replica, move placer.Move, where string) {
	conn, err := giver.agent.settings.Open(ctx, home.Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	put := &encoder.PointerPut{Chat: move.Chat, Instance: where, Tokens: move.Tokens}
	if encoder.NewStream(conn).Write(encoder.Of(put)) == nil {
		giver.pointers.Add(1)
	}
}

func (giver *giver) log(took timekeeper.Span) {
	giver.agent.settings.Scope.Counter("handed-over").Inc(giver.prefixes.Load())
	giver.agent.settings.Log.WithFields(logrus.Fields{
		"prefixes": giver.prefixes.Load(), "pointers": giver.pointers.Load(), "not-handed-over": giver.not.Load(),
		"took": took.String(),
	}).Info("hand-over")
}
