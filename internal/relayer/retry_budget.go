package relayer

import (
	"math"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/retrier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// RetryBudget bounds the retries of all entries together to one service.
type RetryBudget struct {
	// Window is the length of the sliding window over which retries are counted.
	Window timekeeper.Span
	// Ratio is how many retries each request in the window allows, and Extra how many
	// more are allowed in a window.
	Ratio float64
	Extra float64
}

// withBudget calls work with the retry budget of a service while holding the lock.
func (entry *Entry) withBudget(service string, work func(window *retrier.Window, now timekeeper.Instant)) {
	now := entry.settings.Clock.Now()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	window, found := entry.budgets[service]
	if !found {
		settings := retrier.WindowSettings{
			Span: entry.settings.RetryBudget.Window, Ratio: entry.settings.RetryBudget.Ratio, Extra: entry.settings.RetryBudget.Extra,
		}
		if !entry.settings.FirstStart {
			settings.StartedAt = entry.startedAt
		}
		window = retrier.NewWindow(settings)
		entry.budgets[service] = window
	}
	work(window, now)
}

// earnRetries adds a request to the retry budget of its service.
func (entry *Entry) earnRetries(service string) {
	entry.withBudget(service, func(window *retrier.Window, now timekeeper.Instant) { window.Earn(now) })
}

// reserveRetry reserves a retry of a request in the budget of its service, and reports whether
// one remained.
func (entry *Entry) reserveRetry(service, request string) (reserved bool) {
	parts := entry.settings.RetryParts()
	var usage retrier.Usage
	entry.withBudget(service, func(window *retrier.Window, now timekeeper.Instant) {
		usage = window.Usage(parts, now)
		reserved = window.Reserve(parts, now)
	})
	entry.recordRetry(service, request, reserved, usage)
	return reserved
}

// spendRetry ends a reservation when the retry is about to be sent, and reports whether it may be.
func (entry *Entry) spendRetry(service, request string) (allowed bool) {
	parts := entry.settings.RetryParts()
	var usage retrier.Usage
	entry.withBudget(service, func(window *retrier.Window, now timekeeper.Instant) {
		allowed = window.Spend(parts, now)
		usage = window.Usage(parts, now)
	})
	if !allowed {
		entry.recordRetry(service, request, allowed, usage)
	}
	return allowed
}

// releaseRetry ends a reservation whose retry is not sent.
func (entry *Entry) releaseRetry(service string) {
	entry.withBudget(service, func(window *retrier.Window, _ timekeeper.Instant) { window.Release() })
}

// recordRetry counts and logs whether a retry is allowed, and what decided it.
func (entry *Entry) recordRetry(service, request string, allowed bool, usage retrier.Usage) {
	entry.meters.countRetry(service, allowed)
	outcome := map[bool]string{true: "retry allowed", false: "retry denied"}[allowed]
	entry.settings.Log.WithFields(logrus.Fields{
		"request-id": request, labelService: service, "window-requests": usage.Requests, "window-retries": usage.Retries,
		"reserved": usage.Reserved, "retries-left": math.Round(100*usage.Remaining) / 100, "parts": entry.settings.RetryParts(),
		"running-ms": int64(entry.settings.Clock.Now().Since(entry.startedAt)),
	}).Info(outcome)
}

// RetriesRemaining returns the number of retries that this entry has left, by service.
func (entry *Entry) RetriesRemaining() map[string]float64 {
	parts, now := entry.settings.RetryParts(), entry.settings.Clock.Now()
	entry.mu.Lock()
	defer entry.mu.Unlock()
	remaining := make(map[string]float64, len(entry.budgets))
	for service, window := range entry.budgets {
		remaining[service] = window.Usage(parts, now).Remaining
	}
	return remaining
}

// reserveRetry reserves a retry, and reports whether one remained.
func (task *task) reserveRetry() bool {
	task.retryReserved = task.retryReserved || task.entry.reserveRetry(task.service, task.call.ID)
	return task.retryReserved
}

// releaseRetry ends the reservation of a retry that is not sent, if there is one.
func (task *task) releaseRetry() {
	if task.retryReserved {
		task.retryReserved = false
		task.entry.releaseRetry(task.service)
	}
}

// spendRetry reports whether the budget allows an attempt that is about to be sent. The first that
// reaches a replica is not a retry.
func (task *task) spendRetry() bool {
	if task.refusals+task.runs == 0 {
		return true
	}
	if !task.reserveRetry() {
		return false
	}
	task.retryReserved = false
	return task.entry.spendRetry(task.service, task.call.ID)
}
