package striker

import (
	"context"
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Table is the name of the platform's table that holds strikes.
const Table = "strikes"

// tries bounds how often a change that met another one is made again.
const tries = 4

// RowKey returns the key of a fingerprint's row.
func RowKey(fingerprint uint64) string {
	const width, radix = 16, 16
	text := strconv.FormatUint(fingerprint, radix)
	return "0000000000000000"[:width-len(text)] + text
}

// Book is the shared record of strikes in the platform's table.
type Book struct {
	table storekeeper.Table
	now   func() timekeeper.Instant
}

// NewBook returns the record in a table.
func NewBook(table storekeeper.Table, now func() timekeeper.Instant) Book {
	return Book{table: table, now: now}
}

// Read returns the row of a fingerprint and its version; the second result is
// false when there is none that counts.
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

// Add adds a crash at an instance to the row.
//
// The load: an engine crashes with its whole batch in flight, and all of it is
// struck at once. Hardly any of it has a row, so the row is written first and
// read only when that met one: one crash of 64 calls would else read 64 rows
// that aren't there.
func (book Book) Add(ctx context.Context, strike Strike, instance string) error {
	fresh := strike
	fresh.Count, fresh.Instances = 0, nil
	err := book.write(ctx, fresh.WithCrash(instance, strike.Expires), 0)
	if !eris.Is(err, storekeeper.ErrConflict) && !eris.Is(err, storekeeper.ErrUnknown) {
		return err
	}
	return book.change(ctx, strike.Fingerprint, func(row Strike, found bool) (Strike, bool) {
		if !found {
			row = strike
			row.Count, row.Instances = 0, nil
		}
		if row.lastAt(instance, strike.Expires) {
			return row, false
		}
		return row.WithCrash(instance, strike.Expires), true
	})
}

// Raise writes the strike if the row says less, and returns ErrConflict when
// the row says as much already, unless this strike said so.
func (book Book) Raise(ctx context.Context, strike Strike) error {
	taken := false
	err := book.change(ctx, strike.Fingerprint, func(row Strike, found bool) (Strike, bool) {
		taken = found && row.Count >= strike.Count
		if taken {
			taken = !row.lastAt(last(strike.Instances), strike.Expires)
			return row, false
		}
		return strike, true
	})
	if err == nil && taken {
		return storekeeper.ErrConflict
	}
	return err
}

// Lower takes the second strike of an isolated run back to one.
func (book Book) Lower(ctx context.Context, fingerprint uint64) error {
	return book.change(ctx, fingerprint, func(row Strike, found bool) (Strike, bool) {
		row.Count = IsolationThreshold
		return row, found
	})
}

// lastAt recognises a write of which the answer was lost.
func (strike Strike) lastAt(instance string, expires timekeeper.Instant) bool {
	return strike.Expires == expires && last(strike.Instances) == instance
}

func last(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[len(list)-1]
}

// change reads a row, changes it and writes it by compare-and-set. A change
// that returns false needs no write, or was made by a write whose answer was lost.
func (book Book) change(ctx context.Context, fingerprint uint64, with func(row Strike, found bool) (Strike, bool)) error {
	err := storekeeper.ErrConflict
	for range tries {
		row, version, found, failed := book.Read(ctx, fingerprint)
		if failed != nil {
			return failed
		}
		changed, needed := with(row, found)
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

// Lift removes a strike; it returns false when there was none.
func (book Book) Lift(ctx context.Context, fingerprint uint64) (bool, error) {
	for range tries {
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

// List returns up to limit strikes that come after a fingerprint's key, and
// deletes the expired ones among them.
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
		// Another may delete or renew them at the same time; the next list shows it.
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
