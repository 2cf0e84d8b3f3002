package claimer

import (
	"context"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// MaxLoss is how old the copy may be that the store comes back from: claims that are older
	// are in it.
	MaxLoss = 20 * timekeeper.Second
	// RestoreInterval is the time between two questions of a process with recent claims whether
	// the store has come back.
	RestoreInterval = 2 * timekeeper.Second
	// startWindow is how long after the store had a claim a request may start under it. It
	// covers the answer of the store and the wait for the Run frame.
	startWindow = 7 * timekeeper.Second
	// holdTime is for how long the store must have answered an agent, after the agent has learnt
	// that it came back from a copy, before the agent claims keys. It is longer than
	// startWindow and RestoreInterval together, so that nothing starts under a lost claim once
	// others may claim its key, and what has started is written again by then.
	holdTime = 10 * timekeeper.Second
	// maxAnswerGap is how much of the time between two answers of the store counts towards
	// holdTime at most: while it doesn't answer, no claims are written again.
	maxAnswerGap = 2500 * timekeeper.Millisecond
	// heldReadInterval is the minimum time between two questions that calls cause while claims
	// are held back.
	heldReadInterval = timekeeper.Second
	// firstEra is the era of a store that has never come back from a copy.
	firstEra = 1
	// eraTable has a row for each era in which all claims have been written again.
	eraTable = "eras"
)

// eraGate knows the era of the store, and whether claims may be written in it.
//
// Its lock is never held during a call to the store.
type eraGate struct {
	table storekeeper.Table
	now   func() timekeeper.Instant

	mu sync.Mutex
	// era is the newest era that the store has told; zero means that it has told none. over is
	// set once a write has shown that the store is in a later one.
	era  uint64
	over bool
	// seenAt is when this process last knew that the store was in the era, and answered for how
	// long the store has answered it in that era.
	seenAt   timekeeper.Instant
	answered timekeeper.Span
	// open reports whether claims may be written.
	open bool
	// loss is what the store may lack.
	loss loss
}

// loss is which claims a process may have to write again. The zero value means none.
type loss struct {
	pending bool
	era     uint64
	// The store may lack the claims that it had at or after since, and of which it is not known
	// that it had them at or after learntAt, when this process learnt of the era.
	since, learntAt timekeeper.Instant
}

func newEraGate(table storekeeper.Table, now func() timekeeper.Instant) *eraGate {
	return &eraGate{table: table, now: now}
}

// read asks the store for its era.
func (gate *eraGate) read(ctx context.Context) (uint64, error) {
	if gate.table.Era == nil {
		return firstEra, nil
	}
	asked := gate.now()
	era, err := gate.table.Era(ctx)
	if eris.Is(err, storekeeper.ErrAbsent) {
		// The store tells no era.
		era, err = firstEra, nil
	}
	if err != nil {
		return 0, err
	}
	if gate.learn(era, asked) {
		gate.openIfRestored(ctx, era)
	}
	if gate.holdEnded() {
		gate.endHold(ctx, era)
	}
	return era, nil
}

// holdEnded reports whether claims need not be held back any more.
func (gate *eraGate) holdEnded() bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return !gate.open && !gate.over && gate.answered >= holdTime
}

// learn records an era that the store told after the given instant, and reports whether it is
// new.
func (gate *eraGate) learn(era uint64, at timekeeper.Instant) bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if era <= gate.era {
		if era == gate.era && !gate.over {
			gate.answered += min(max(0, at.Since(gate.seenAt)), maxAnswerGap)
			gate.seenAt = max(gate.seenAt, at)
		}
		return false
	}
	if gate.era != 0 && !gate.loss.pending {
		gate.loss = loss{pending: true, since: gate.seenAt.Add(-MaxLoss)}
	}
	gate.loss.era, gate.loss.learntAt = era, gate.now()
	gate.era, gate.over, gate.seenAt, gate.answered, gate.open = era, false, at, 0, era == firstEra
	return true
}

// openIfRestored opens the gate if another process has recorded that all claims have been written again in an era.
func (gate *eraGate) openIfRestored(ctx context.Context, era uint64) {
	if era == firstEra {
		return
	}
	if _, err := gate.table.Get(ctx, eraTable, strconv.FormatUint(era, 10)); err != nil {
		return
	}
	gate.mu.Lock()
	defer gate.mu.Unlock()
	// If the store has come back once more since, no write succeeds in this era.
	gate.open = gate.open || gate.era == era && !gate.over
}

// forget records that an era is over.
func (gate *eraGate) forget(era uint64) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.era == era {
		gate.over, gate.open = true, false
	}
}

// current returns the era of the store, as far as this process knows.
func (gate *eraGate) current(ctx context.Context) (uint64, error) {
	gate.mu.Lock()
	era, known := gate.era, gate.era != 0 && !gate.over
	gate.mu.Unlock()
	if known {
		return era, nil
	}
	return gate.read(ctx)
}

// admit returns the era in which claims may be written, or how long they may not be.
func (gate *eraGate) admit(ctx context.Context) (uint64, timekeeper.Span, error) {
	era, err := gate.current(ctx)
	if err != nil || gate.table.Era == nil {
		return 0, 0, err
	}
	if gate.readDue() {
		if era, err = gate.read(ctx); err != nil {
			return 0, 0, err
		}
	}
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.open {
		return era, 0, nil
	}
	return era, gate.remaining(), nil
}

// write makes writes that depend on an era.
func (gate *eraGate) write(ctx context.Context, era uint64, writes []storekeeper.Write) error {
	for i := range writes {
		writes[i].Era = era
	}
	err := gate.table.Commit(ctx, writes)
	if eris.Is(err, storekeeper.ErrEra) {
		gate.forget(era)
	}
	return err
}

// readDue reports whether claims are held back and the store was not asked of late.
func (gate *eraGate) readDue() bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return !gate.open && gate.now().Since(gate.seenAt) >= heldReadInterval
}

// heldFor returns how much longer claims are held back, as far as this process knows; zero if
// they aren't.
func (gate *eraGate) heldFor() timekeeper.Span {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.era == 0 || gate.open {
		return 0
	}
	return gate.remaining()
}

// remaining returns how much longer the store must answer. The caller holds the lock.
func (gate *eraGate) remaining() timekeeper.Span {
	if gate.over {
		return holdTime
	}
	return max(timekeeper.Millisecond, holdTime-gate.answered)
}

// endHold opens the gate and tells processes that start later that claims have been written
// again. It is best effort: they wait if the row is missing.
func (gate *eraGate) endHold(ctx context.Context, era uint64) {
	_ = gate.write(ctx, era, []storekeeper.Write{{Table: eraTable, Key: strconv.FormatUint(era, 10), Value: []byte("{}")}})
	gate.mu.Lock()
	defer gate.mu.Unlock()
	gate.open = gate.open || gate.era == era && !gate.over
}

// unknown reports whether the store has not told its era yet.
func (gate *eraGate) unknown() bool {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.era == 0
}

// currentLoss returns what the store may lack, as far as this process knows.
func (gate *eraGate) currentLoss() loss {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	return gate.loss
}

// endLoss records that this process has written again what the store lacked, in a pass that began
// at the given instant. Until startWindow has passed, requests may still start under claims that
// were made before the return.
func (gate *eraGate) endLoss(ended loss, began timekeeper.Instant) {
	gate.mu.Lock()
	defer gate.mu.Unlock()
	if gate.loss == ended && !gate.over && began.Since(ended.learntAt) >= startWindow {
		gate.loss.pending = false
	}
}
