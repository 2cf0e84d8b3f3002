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
	// handOverWorkers is how many chats a leaving replica hands over at once: few, since each
	// worker holds an exported prefix of up to maxPrefixBytes in memory. Receivers don't count
	// hand-overs against maxTransfers.
	handOverWorkers = maxTransfers / 2
	// handOverTimeout bounds a hand-over independently of the service's DrainTimeout. A
	// chat that is not handed over by then costs a full prefill of the prompt, while
	// platforms kill processes that take too long to leave.
	handOverTimeout = 20 * timekeeper.Second
)

// handOverJob is the hand-over of a leaving replica's chats to other replicas.
type handOverJob struct {
	agent *Agent
	// bytesLeft is how many bytes may still be sent.
	bytesLeft                   atomic.Int64
	prefixes, pointers, skipped atomic.Int64
}

// handOver starts to hand over this replica's chats in the background. Idle chats go
// first; chats that were running go when the returned function is called. That function
// returns when all chats are handed over or the time is up.
func (agent *Agent) handOver(ctx context.Context) func() {
	agent.mu.Lock()
	enabled := agent.canFetch()
	job := &handOverJob{agent: agent}
	job.bytesLeft.Store(agent.service.MaxHandOverBytes)
	agent.mu.Unlock()
	if !enabled {
		return func() {}
	}
	started := agent.settings.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout.Duration())
	idle, running := agent.pendingMoves()
	idleDone := make(chan struct{})
	go func() {
		defer close(idleDone)
		job.run(ctx, idle)
	}()
	return func() {
		defer cancel()
		<-idleDone
		job.run(ctx, running)
		job.log(agent.settings.Clock.Now().Since(started))
	}
}

// pendingMoves returns the chats to hand over: those without a running call, and those
// with one.
func (agent *Agent) pendingMoves() (idle, running []placer.Move) {
	rest := agent.settings.Replicas().Without(agent.settings.Name)
	agent.mu.Lock()
	defer agent.mu.Unlock()
	var active []uint64
	for _, run := range agent.runs {
		if run.endedAt == 0 && !run.tombstone {
			active = append(active, run.chat)
		}
	}
	for _, move := range agent.directory.Handover(rest, placer.DirectorySize) {
		if slices.Contains(active, move.Chat) {
			running = append(running, move)
			continue
		}
		idle = append(idle, move)
	}
	return idle, running
}

// run hands over chats with a few workers until ctx ends.
func (job *handOverJob) run(ctx context.Context, moves []placer.Move) {
	var workers sync.WaitGroup
	defer workers.Wait()
	next := make(chan placer.Move)
	defer close(next)
	for range min(handOverWorkers, len(moves)) {
		workers.Go(func() {
			for move := range next {
				job.handOverChat(ctx, move)
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

// handOverChat hands over one chat: its pointer, or its prefix to the first replica with
// room for it. If that replica isn't the chat's home, the home gets a pointer to it.
func (job *handOverJob) handOverChat(ctx context.Context, move placer.Move) {
	home := move.To[0]
	if move.Holder != "" {
		job.putPointer(ctx, home, move, move.Holder)
		return
	}
	if job.bytesLeft.Load() <= 0 {
		job.skipped.Add(1)
		return
	}
	body, err := job.agent.upstream.exportPrefix(ctx, move.Chat, false)
	if err != nil || job.bytesLeft.Add(-int64(len(body))) < 0 {
		job.skipped.Add(1)
		return
	}
	message := &encoder.PrefixBody{Chat: move.Chat, Body: body, Tokens: move.Tokens}
	for i, replica := range move.To {
		frame, err := job.agent.callReplica(ctx, replica, message)
		if err != nil || frame.GetPointerAnswer().GetInstance() == "" {
			continue
		}
		job.prefixes.Add(1)
		if i > 0 {
			job.putPointer(ctx, home, move, replica.Name)
		}
		return
	}
	job.skipped.Add(1)
}

// putPointer sends the chat's home a pointer to the replica that holds the chat's prefix.
func (job *handOverJob) putPointer(ctx context.Context, home placer.Replica, move placer.Move, holder string) {
	conn, err := job.agent.settings.Open(ctx, home.Address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	put := &encoder.PointerPut{Chat: move.Chat, Instance: holder, Tokens: move.Tokens}
	if encoder.NewStream(conn).Write(encoder.Of(put)) == nil {
		job.pointers.Add(1)
	}
}

func (job *handOverJob) log(took timekeeper.Span) {
	job.agent.settings.Scope.Counter("handed-over").Inc(job.prefixes.Load())
	job.agent.settings.Log.WithFields(logrus.Fields{
		"prefixes": job.prefixes.Load(), "pointers": job.pointers.Load(), "not-handed-over": job.skipped.Load(),
		"took": took.String(),
	}).Info("hand-over")
}
