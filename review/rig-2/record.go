package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// record is what was sent, answered and run, with the milliseconds since the case began.
type record struct {
	clock timekeeper.Clock
	since timekeeper.Instant

	mu  sync.Mutex
	out *bufio.Writer
}

// newRecord returns a record in a file, and a function that closes it.
func newRecord(path string, clock timekeeper.Clock) (*record, func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, err
	}
	record := &record{clock: clock, since: clock.Now(), out: bufio.NewWriter(file)}
	return record, func() {
		record.mu.Lock()
		defer record.mu.Unlock()
		_ = record.out.Flush()
		_ = file.Close()
	}, nil
}

// add adds a line.
func (record *record) add(format string, values ...any) {
	at := record.clock.Now().Since(record.since)
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.out, "%7d ms  %s\n", int64(at), fmt.Sprintf(format, values...))
}

// say adds a line and prints it.
func (record *record) say(format string, values ...any) {
	record.add(format, values...)
	fmt.Printf(format+"\n", values...)
}
