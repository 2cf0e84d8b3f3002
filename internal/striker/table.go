package striker

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Table is the name of the table of strikes in the platform's store.
const Table = "strikes"

// maxAttempts limits the attempts to change a row, after a conflict or a write with
// an unknown outcome, and to delete one, after a conflict.
const maxAttempts = 4

// RowKey returns the key of the row for a fingerprint.
func RowKey(fingerprint uint64) string {
	const width, radix = 16, 16
	text := strconv.FormatUint(fingerprint, radix)
	return "0000000000000000"[:width-len(text)] + text
}

// Book reads and writes the strikes in the platform's table, which all agents share.
type Book struct {
	table storekeeper.Table
	now   func() timekeeper.Instant
}

// NewBook returns a Book for a table.
func NewBook(table storekeeper.Table, now func() timekeeper.Instant) Book {
	return Book{table: table, now: now}
}

// Read returns the strike of a fingerprint and the version of its row. The third
// result is false if there is no row or the strike has expired.
func (book Book) Read(ctx context.Context, fingerprint uint64) (Strike, uint64, bool, error) {
	if book.table.Get == nil {
		return Strike{}, 0, false, storekeeper.ErrUnknown
	}
	row, err := book.table.Get(ctx, Table, RowKey(fingerprint))
	if eris.Is(err, storekeeper.ErrAbsent) {
		return Strike{}, 0, false, nil
	}
	if err != nil {
		return Strike{}, 0, false, err
	}
	strike, err := decode(row)
	return strike, row.Version, err == nil && book.now().Before(strike.Expires), err
}

// Add adds a crash at an instance to the row of a strike.
//
// An engine crash strikes its whole batch at once, and few of these requests
// have a row. So Add first inserts a row, and reads it only after a conflict or
// a lost answer; otherwise a crash with 64 requests in flight would read 64 missing rows.
func (book Book) Add(ctx context.Context, strike Strike, instance string) error {
	initial := strike
	initial.Count, initial.Instances = 0, nil
	err := book.write(ctx, initial.WithCrash(instance, strike.Expires), 0)
	if !eris.Is(err, storekeeper.ErrConflict) && !eris.Is(err, storekeeper.ErrUnknown) {
		return err
	}
	return book.change(ctx, strike.Fingerprint, func(row Strike, found bool) (Strike, bool) {
		if !found {
			row = strike
			row.Count, row.Instances = 0, nil
		}
		if row.isLastCrash(instance, strike.Expires) {
			return row, false
		}
		return row.WithCrash(instance, strike.Expires), true
	})
}

// Raise writes the strike if the row has a lower count. If not, it returns
// ErrConflict, unless the row was written by an earlier attempt with this strike.
func (book Book) Raise(ctx context.Context, strike Strike) error {
	raisedByOther := false
	err := book.change(ctx, strike.Fingerprint, func(row Strike, found bool) (Strike, bool) {
		raisedByOther = found && row.Count >= strike.Count
		if raisedByOther {
			raisedByOther = !row.isLastCrash(last(strike.Instances), strike.Expires)
			return row, false
		}
		return strike, true
	})
	if err == nil && raisedByOther {
		return storekeeper.ErrConflict
	}
	return err
}

// Lower removes the second strike of an isolated run.
func (book Book) Lower(ctx context.Context, fingerprint uint64) error {
	return book.change(ctx, fingerprint, func(row Strike, found bool) (Strike, bool) {
		row.Count = IsolationThreshold
		return row, found
	})
}

// isLastCrash reports whether the last crash in the strike has this instance and
// expiry. It detects a write that succeeded although its answer was lost.
func (strike Strike) isLastCrash(instance string, expires timekeeper.Instant) bool {
	return strike.Expires == expires && last(strike.Instances) == instance
}

func last(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1]
}

// change reads a row, applies a change and writes it by compare-and-set. It
// doesn't write if apply returns false.
func (book Book) change(ctx context.Context, fingerprint uint64, apply func(row Strike, found bool) (Strike, bool)) error {
	err := storekeeper.ErrConflict
	for range maxAttempts {
		row, version, found, readErr := book.Read(ctx, fingerprint)
		if readErr != nil {
			return readErr
		}
		changed, needed := apply(row, found)
		if !needed {
			return nil
		}
		err = book.write(ctx, changed, version)
		if err == nil || eris.Is(err, storekeeper.ErrBusy) {
			return err
		}
	}
	return err
}

func (book Book) write(ctx context.Context, strike Strike, expect uint64) error {
	if book.table.Commit == nil {
		return storekeeper.ErrUnknown
	}
	value, err := json.Marshal(strike)
	if err != nil {
		return eris.Wrap(err, "encode strike")
	}
	write := storekeeper.Write{Table: Table, Key: RowKey(strike.Fingerprint), Value: value, Expect: expect}
	return book.table.Commit(ctx, []storekeeper.Write{write})
}

// Lift deletes a strike. It returns false if there was none.
func (book Book) Lift(ctx context.Context, fingerprint uint64) (bool, error) {
	for range maxAttempts {
		row, err := book.table.Get(ctx, Table, RowKey(fingerprint))
		if eris.Is(err, storekeeper.ErrAbsent) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		err = book.table.Commit(ctx, []storekeeper.Write{{Table: Table, Key: row.Key, Expect: row.Version, Delete: true}})
		if !eris.Is(err, storekeeper.ErrConflict) {
			return err == nil, err
		}
	}
	return false, storekeeper.ErrConflict
}

// List scans up to limit rows after a row key, returns the strikes that have not
// expired and deletes the others.
func (book Book) List(ctx context.Context, after string, limit int) ([]Strike, error) {
	rows, err := book.table.Scan(ctx, Table, "", after, limit)
	if err != nil {
		return nil, err
	}
	strikes := make([]Strike, 0, len(rows))
	var expired []storekeeper.Write
	for _, row := range rows {
		strike, err := decode(row)
		if err != nil {
			return nil, err
		}
		if book.now().Before(strike.Expires) {
			strikes = append(strikes, strike)
			continue
		}
		expired = append(expired, storekeeper.Write{Table: Table, Key: row.Key, Expect: row.Version, Delete: true})
	}
	if len(expired) > 0 {
		// Another agent may delete or renew these rows at the same time; the next
		// List returns the outcome.
		_ = book.table.Commit(ctx, expired)
	}
	return strikes, nil
}

func decode(row storekeeper.Row) (Strike, error) {
	var strike Strike
	err := json.Unmarshal(row.Value, &strike)
	strike.Saved = true
	return strike, eris.Wrap(err, "decode strike")
}
