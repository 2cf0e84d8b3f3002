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

func lost(dropped int64) []byte { return fmt.Appendf(nil, "lost %d\n", dropped) }

// lostOf sums what the lines of an output tell of lost lines. A queue that begins
// to write while lines are being dropped tells of them in more than one.
func lostOf(output string) int64 {
	sum := int64(0)
	for _, line := range strings.Split(output, "\n") {
		if text, found := strings.CutPrefix(line, "lost "); found {
			count, _ := strconv.ParseInt(text, 10, 64)
			sum += count
		}
	}
	return sum
}

func TestAStalledReaderHoldsUpNobody(t *testing.T) {
	// The reader of the output stops reading. Whoever logs goes on at once; lines
	// beyond the queue are dropped and counted; and once the reader is back it is
	// told how many it has missed.
	reader, writer := io.Pipe()
	queue, release := NewQueue(writer, lost)
	const lines = 3 * room
	for range lines {
		_, err := queue.Write([]byte("{}\n"))
		if err != nil {
			t.Fatal(err)
		}
	}
	Convey("lines are dropped and counted", t, func() {
		So(queue.Dropped(), ShouldBeBetweenOrEqual, lines-room-1, lines-room)
	})
	var out bytes.Buffer
	read := make(chan struct{})
	go func() { defer close(read); _, _ = io.Copy(&out, reader) }()
	release(nil)
	_ = writer.Close()
	<-read
	Convey("the reader is told, and gets the rest", t, func() {
		So(lostOf(out.String()), ShouldEqual, queue.Dropped())
		So(strings.Count(out.String(), "{}"), ShouldEqual, lines-queue.Dropped())
	})
}

func TestAReaderThatNeverComesBackIsGivenUp(*testing.T) {
	// The process is told to stop while nobody reads its output: it ends all the same.
	_, writer := io.Pipe()
	queue, release := NewQueue(writer, lost)
	_, _ = queue.Write([]byte("{}\n"))
	giveUp := make(chan struct{})
	close(giveUp)
	release(giveUp)
}
