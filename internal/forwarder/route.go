package forwarder

import (
	"context"
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/retrier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// plan returns the attempt plan of a call. Calls without a chat are spread evenly.
func (entry *Entry) plan(call call) *placer.AttemptPlan {
	chat := call.chat
	if chat == 0 {
		chat = call.rankHash()
	}
	return placer.NewAttemptPlan(entry.roster(call), chat, entry.unreachable.names(entry.settings.Clock.Now()))
}

// roster returns the replicas that may get the call: those that hold its adapter,
// since an engine without it can't answer. While none is known to hold it, all are
// candidates, since the known state of engines may be out of date.
func (entry *Entry) roster(call call) placer.Roster {
	if call.adapter != "" && entry.settings.AdapterHolders != nil {
		if holders := entry.settings.AdapterHolders(call.service, call.adapter); holders.Len() > 0 {
			return holders
		}
	}
	return entry.settings.Roster(call.service)
}

// newRefusal returns the refusal that the attempt plan records for a failure. At a
// bound, the alternative is the least loaded replica of a sample.
func (entry *Entry) newRefusal(call call, plan *placer.AttemptPlan, failure classifier.Failure) placer.Refusal {
	refusal := placer.Refusal{
		Redirected:  failure.Kind == classifier.Moved,
		AtBound:     failure.Kind == classifier.AtBound,
		LastReplica: failure.LastReplica,
		Alternative: failure.Alternative,
	}
	if refusal.AtBound {
		refusal.Alternative = entry.leastLoaded(call, plan, failure.Alternative)
	}
	return refusal
}

// finalFailure returns the failure that a caller gets when no candidate is left. If
// a retry can help, it says when to retry.
func finalFailure(failure classifier.Failure) classifier.Failure {
	if failure.Kind == classifier.Moved {
		failure = classifier.New(classifier.Overloaded, "no replica took the chat")
	}
	if failure.RetryAfter == 0 && classifier.AnswerOf(failure.Kind).Retry {
		failure = failure.WithRetryAfter(timekeeper.Second)
	}
	return failure
}

// pointerTimeout bounds the time to connect to all replicas that get one chat's pointer.
const pointerTimeout = 2 * timekeeper.Second

// updatePointers sends the targets a pointer to the replica that served the chat, so
// that the next turn finds it. A lost message costs only a full prefill of the
// prompt, so each is sent once and no answer is awaited.
func (entry *Entry) updatePointers(ctx context.Context, call call, targets []placer.Replica, server placer.Replica) {
	if call.chat == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pointerTimeout.Duration())
	defer cancel()
	for _, target := range targets {
		conn, err := entry.settings.Pool.Open(ctx, target.Address)
		if err != nil {
			continue
		}
		put := &encoder.PointerPut{Chat: call.chat, Instance: server.Name, Tokens: call.work}
		_ = encoder.NewStream(conn).Write(encoder.Of(put))
		_ = conn.Close()
		entry.settings.Scope.Counter("pointers-put").Inc(1)
	}
}

// budgets are the retry budgets of an entry, one per service, so that a saturated
// service does not use up the budget of another.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*retrier.Budget
}

func newBudgets() *budgets {
	return &budgets{byService: map[string]*retrier.Budget{}}
}

// get returns the budget of a service; the caller must hold the lock.
func (budgets *budgets) get(service string) *retrier.Budget {
	budget := budgets.byService[service]
	if budget == nil {
		budget = retrier.NewBudget(retrier.Settings{})
		budgets.byService[service] = budget
	}
	return budget
}

func (budgets *budgets) earn(service string) {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	budgets.get(service).Earn()
}

func (budgets *budgets) spend(service string) bool {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	return budgets.get(service).Spend()
}

// unreachableSpan is how long an entry skips a replica that it could not reach. The
// platform's list lags by seconds; until it shows that the replica has ended, each
// of the replica's chats would cost a failed dial.
const unreachableSpan = 5 * timekeeper.Second

// unreachableReplicas are the replicas that an entry could not reach recently.
type unreachableReplicas struct {
	mu    sync.Mutex
	until map[string]timekeeper.Instant
}

func newUnreachableReplicas() *unreachableReplicas {
	return &unreachableReplicas{until: map[string]timekeeper.Instant{}}
}

// recordFailure marks the replica as unreachable after Unreachable or
// OutcomeUnknown. The latter may also come from a replica that answered.
func (unreachable *unreachableReplicas) recordFailure(replica placer.Replica, failure classifier.Failure, now timekeeper.Instant) {
	if failure.Kind != classifier.Unreachable && failure.Kind != classifier.OutcomeUnknown {
		return
	}
	unreachable.mu.Lock()
	defer unreachable.mu.Unlock()
	unreachable.until[replica.Name] = now.Add(unreachableSpan)
}

// names returns the replicas to skip, and forgets those whose time has passed.
func (unreachable *unreachableReplicas) names(now timekeeper.Instant) []string {
	unreachable.mu.Lock()
	defer unreachable.mu.Unlock()
	names := make([]string, 0, len(unreachable.until))
	for name, until := range unreachable.until {
		if until.Before(now) {
			delete(unreachable.until, name)
			continue
		}
		names = append(names, name)
	}
	return names
}
