package claimer

import (
	"context"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// HeldFailure returns the failure of a call whose key can't be claimed yet, since the store has
// come back from a copy.
func HeldFailure(left timekeeper.Span) classifier.Failure {
	failure := classifier.New(classifier.StoreDown, "the store has come back from a copy, and claims that it lacks are being written again")
	return failure.WithRetryAfter(left)
}

// Restore asks the store for its era and, if the store has come back from a copy since, writes
// again the claims that it may lack. recent returns those that this process knows the store had
// at or after one instant, and not that it had them at or after another. Restore returns the
// claims and their results; those without a definite one are written by the next Restore.
func (committer *Committer) Restore(ctx context.Context, recent func(since, before timekeeper.Instant) []Row) ([]Row, []Result, error) {
	began := committer.now()
	if _, err := committer.gate.read(ctx); err != nil {
		return nil, nil, err
	}
	loss := committer.gate.currentLoss()
	if !loss.pending {
		return nil, nil, nil
	}
	rows := recent(loss.since, loss.learntAt)
	results := make([]Result, 0, len(rows))
	for group := range slices.Chunk(rows, maxGroup) {
		results = append(results, committer.commitIn(ctx, loss.era, group)...)
	}
	if !slices.ContainsFunc(results, func(result Result) bool { return result.Outcome != Won && result.Outcome != Lost }) {
		committer.gate.endLoss(loss, began)
	}
	return rows, results, nil
}

// RestoreCounts is the number of results of Restore by outcome: written or found, taken by another
// request, and still open.
type RestoreCounts struct{ Written, Taken, Open int }

// CountRestored counts the results of Restore.
func CountRestored(results []Result) (counts RestoreCounts) {
	for _, result := range results {
		switch result.Outcome {
		case Won:
			counts.Written++
		case Lost:
			counts.Taken++
		case Unknown, Held:
			counts.Open++
		}
	}
	return counts
}

// NeedsRestore reports whether Restore must be called though there are no recent claims: claims
// are held back, or there are lost ones to write.
func (committer *Committer) NeedsRestore() bool {
	return committer.gate.currentLoss().pending || committer.HeldFor() > 0
}

// HeldFor returns how much longer claims are held back, since the store has come back from a copy;
// zero if they aren't, as far as this process knows.
func (committer *Committer) HeldFor() timekeeper.Span { return committer.gate.heldFor() }

// EraUnknown reports whether the store has not told its era yet. Claims that are made before it
// has can't be known to be lost.
func (committer *Committer) EraUnknown() bool { return committer.gate.unknown() }

// RecentClaims returns the rows that this agent knows the store had at or after since, and not
// that it had them at or after before: those of its own keys, and those by which other agents own
// theirs.
func (book *Book) RecentClaims(since, before timekeeper.Instant) []Row {
	var rows []Row
	for key, record := range book.records {
		if !record.minted && record.confirmedAt != 0 && record.confirmedAt >= since && record.confirmedAt < before {
			rows = append(rows, rowOf(key, record))
		}
	}
	return rows
}

// HasRecent reports whether there are claims that a copy of the store may lack.
func (book *Book) HasRecent(now timekeeper.Instant) bool {
	since := now.Add(-MaxLoss)
	for _, record := range book.records {
		if !record.minted && record.confirmedAt != 0 && record.confirmedAt >= since {
			return true
		}
	}
	return false
}

// Restored applies the result of writing a row of RecentClaims again. It reports false if
// another request has claimed the key meanwhile, though a request has started under it here.
func (book *Book) Restored(row Row, result Result) bool {
	record := book.records[row.Key]
	if record == nil || record.owner != row.Owner {
		return true
	}
	switch result.Outcome {
	case Won:
		record.confirmedAt = max(record.confirmedAt, result.At)
	case Unknown, Held:
	case Lost:
		if result.Row.Owner.Agent == record.owner.Agent && result.Row.Owner.Incarnation == record.owner.Incarnation {
			// The row is that of an earlier request, under which nothing started.
			record.confirmedAt = max(record.confirmedAt, result.At)
			return true
		}
		if record.stage == started || record.stage == ended {
			record.confirmedAt = max(record.confirmedAt, result.At)
			return false
		}
		delete(book.byRequest, record.owner.Request)
		*record = foreignRecord(result)
	}
	return true
}
