package stage

import (
	"bufio"
	"fmt"
	"os"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Record writes what was sent, answered and run to a file, a line each, with the milliseconds since
// its start. It is safe for concurrent use.
type Record struct {
	clock timekeeper.Clock
	start timekeeper.Instant

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// NewRecord returns a record that replaces a file.
func NewRecord(clock timekeeper.Clock, path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{clock: clock, start: clock.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Add adds a line.
func (record *Record) Add(format string, values ...any) {
	at := record.clock.Now().Since(record.start)
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.out, "%d %s\n", int64(at), fmt.Sprintf(format, values...))
}

// Say adds a line and prints it.
func (record *Record) Say(format string, values ...any) {
	record.Add(format, values...)
	fmt.Fprintf(os.Stdout, format+"\n", values...)
}

// Close writes the rest of the file.
func (record *Record) Close() {
	record.mu.Lock()
	defer record.mu.Unlock()
	_ = record.out.Flush()
	_ = record.file.Close()
}
