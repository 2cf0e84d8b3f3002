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

// route returns the way of a call through the replicas. A call without a chat
// is spread evenly.
func (entry *Entry) route(call call) *placer.AttemptPlan {
	chat := call.chat
	if chat == 0 {
		chat = call.spread()
	}
	return placer.NewAttemptPlan(entry.roster(call), chat, entry.away.names(entry.settings.Clock.Now()))
}

// roster returns the replicas that may get the call: those that hold its
// adapter, for an engine without it can't answer. While nobody is known to hold
// it all are asked, since what is known of engines may be late.
func (entry *Entry) roster(call call) placer.Roster {
	if call.adapter != "" && entry.settings.AdapterHolders != nil {
		if holders := entry.settings.AdapterHolders(call.service, call.adapter); holders.Len() > 0 {
			return holders
		}
	}
	return entry.settings.Roster(call.service)
}

// refusalOf returns what the plan reads in a failure.
func (entry *Entry) refusalOf(call call, route *placer.AttemptPlan, failure classifier.Failure) placer.Refusal {
	refusal := placer.Refusal{
		Moved:       failure.Kind == classifier.Moved,
		AtBound:     failure.Kind == classifier.AtBound,
		LastReplica: failure.LastReplica,
		Alternative: failure.Alternative,
	}
	if refusal.AtBound {
		refusal.Alternative = entry.roomiest(call, route, failure.Alternative)
	}
	return refusal
}

// giveUp returns the failure that a caller gets once no candidate is left. It
// always tells when to come back.
func giveUp(failure classifier.Failure) classifier.Failure {
	if failure.Kind == classifier.Moved {
		failure = classifier.New(classifier.Overloaded, "no replica took the chat")
	}
	if failure.RetryAfter == 0 && classifier.AnswerOf(failure.Kind).Retry {
		failure = failure.WithRetryAfter(timekeeper.Second)
	}
	return failure
}

// pointerTimeout bounds a message to a home that doesn't answer.
const pointerTimeout = 2 * timekeeper.Second

// tellHolders tells the holders of a chat's pointer that the chat ran
// elsewhere, so that the next turn finds it. A lost message costs a cold prefix
// and nothing else, so each is sent once and no answer is awaited.
func (entry *Entry) tellHolders(ctx context.Context, call call, holders []placer.Replica, served placer.Replica) {
	if call.chat == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pointerTimeout.Duration())
	defer cancel()
	for _, keeper := range holders {
		conn, err := entry.settings.Pool.Open(ctx, keeper.Address)
		if err != nil {
			continue
		}
		put := &encoder.PointerPut{Chat: call.chat, Instance: served.Name, Tokens: call.work}
		_ = encoder.NewStream(conn).Write(encoder.Of(put))
		_ = conn.Close()
		entry.settings.Scope.Counter("pointers-put").Inc(1)
	}
}

// budgets are the retry budgets of an entry, one a service, so that a service
// that is saturated uses up no other's.
type budgets struct {
	mu        sync.Mutex
	byService map[string]*retrier.Budget
}

func newBudgets() *budgets {
	return &budgets{byService: map[string]*retrier.Budget{}}
}

// of returns the budget of a service; the lock must be held.
func (budgets *budgets) of(service string) *retrier.Budget {
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
	budgets.of(service).Earn()
}

func (budgets *budgets) spend(service string) bool {
	budgets.mu.Lock()
	defer budgets.mu.Unlock()
	return budgets.of(service).Spend()
}

// awaySpan is how long a replica that could not be reached is passed by. The
// platform's list lags by seconds, and until it tells of a replica's end each
// of its chats would cost a dial that fails.
const awaySpan = 5 * timekeeper.Second

// absent are the replicas that an entry could not reach lately.
type absent struct {
	mu    sync.Mutex
	until map[string]timekeeper.Instant
}

func newAbsent() *absent {
	return &absent{until: map[string]timekeeper.Instant{}}
}

// note takes in a failed attempt.
func (away *absent) note(replica placer.Replica, failure classifier.Failure, now timekeeper.Instant) {
	if failure.Kind != classifier.Unreachable && failure.Kind != classifier.OutcomeUnknown {
		return
	}
	away.mu.Lock()
	defer away.mu.Unlock()
	away.until[replica.Name] = now.Add(awaySpan)
}

// names returns the replicas to pass by, and forgets the others.
func (away *absent) names(now timekeeper.Instant) []string {
	away.mu.Lock()
	defer away.mu.Unlock()
	names := make([]string, 0, len(away.until))
	for name, until := range away.until {
		if until.Before(now) {
			delete(away.until, name)
			continue
		}
		names = append(names, name)
	}
	return names
}
