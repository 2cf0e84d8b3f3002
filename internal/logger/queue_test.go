package logger

import (
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func formatDropped(dropped int64) []byte { return fmt.Appendf(nil, "lost %d\n", dropped) }

// countReported sums the dropped lines that an output reports. A queue that starts
// writing while lines are being dropped reports them in several lines.
func countReported(output string) int64 {
	sum := int64(0)
	for _, line := range strings.Split(output, "\n") {
		if text, found := strings.CutPrefix(line, "lost "); found {
			count, _ := strconv.ParseInt(text, 10, 64)
			sum += count
		}
	}
	return sum
}

func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	// The reader of the output stops reading. Writers must not block, lines beyond the
	// queue are dropped and counted, and the output reports their number once it is read
	// again.
	reader, writer := io.Pipe()
	queue, release := NewQueue(writer, formatDropped)
	const lines = 3 * maxQueuedLines
	for range lines {
		_, err := queue.Write([]byte("{}\n"))
		if err != nil {
			t.Fatal(err)
		}
	}
	Convey("lines are dropped and counted", t, func() {
		So(queue.Dropped(), ShouldBeBetweenOrEqual, lines-maxQueuedLines-1, lines-maxQueuedLines)
	})
	var out bytes.Buffer
	read := make(chan struct{})
	go func() { defer close(read); _, _ = io.Copy(&out, reader) }()
	release(nil)
	_ = writer.Close()
	<-read
	Convey("the output reports the dropped lines and holds the others", t, func() {
		So(countReported(out.String()), ShouldEqual, queue.Dropped())
		So(strings.Count(out.String(), "{}"), ShouldEqual, lines-queue.Dropped())
	})
}

func TestReleaseReturnsWhileReaderIsStalled(*testing.T) {
	// The process stops while nothing reads its output. A release that waits for the
	// reader would keep the process from exiting.
	_, writer := io.Pipe()
	queue, release := NewQueue(writer, formatDropped)
	_, _ = queue.Write([]byte("{}\n"))
	giveUp := make(chan struct{})
	close(giveUp)
	release(giveUp)
}

// brokenFor fails the first writes and passes on the others.
type brokenFor struct {
	writes int
	to     io.Writer
}

// Write writes text unless it is one of the writes that fail.
func (broken *brokenFor) Write(text []byte) (int, error) {
	if broken.writes > 0 {
		broken.writes--
		return 0, io.ErrClosedPipe
	}
	return broken.to.Write(text)
}

func TestLinesThatCannotBeWritten(t *testing.T) {
	// Guards against lines that are lost without being counted while the output has no reader.
	const lines, failing = 10, 5
	var out bytes.Buffer
	queue, release := NewQueue(&brokenFor{writes: failing, to: &out}, formatDropped)
	for range lines {
		_, _ = queue.Write([]byte("{}\n"))
	}
	release(nil)
	Convey("they are counted, and reported once the output can be written", t, func() {
		So(queue.Dropped(), ShouldBeGreaterThan, 0)
		So(countReported(out.String()), ShouldEqual, queue.Dropped())
		So(strings.Count(out.String(), "{}"), ShouldEqual, lines-queue.Dropped())
	})
}
