package receiver

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// watched reads from a body and records the most memory that was taken meanwhile.
type watched struct {
	io.Reader
	memory *Memory
	most   int64
	clock  *timekeeper.Manual
}

func (watched *watched) Read(into []byte) (int, error) {
	watched.most = max(watched.most, watched.memory.Used())
	watched.clock.Advance(1)
	return watched.Reader.Read(into)
}

func TestMemoryOfBodies(t *testing.T) {
	// Guards against a body that is read before its memory is taken, or whose memory isn't returned.
	const limit = 4 << 20
	broken := eris.New("broken")
	tests := []struct {
		name   string
		bytes  int
		length int64
		// end is the error after the bytes, nil for the end of the body.
		end error
		// most bounds the memory that is taken while the body is read.
		most int64
		err  error
	}{
		{"empty, in chunks", 0, -1, nil, FirstBytes, nil},
		{"short, announced", 1000, 1000, nil, 1000, nil},
		{"short, announced, longer than the first piece", 100_000, 100_000, nil, 100_000 + MaxShort/2, nil},
		{"short, in chunks", 100_000, -1, nil, MaxShort, nil},
		{"long, announced", 2 << 20, 2 << 20, nil, 2 << 20, nil},
		{"long, in chunks", 700_000, -1, nil, limit / longParts, nil},
		{"long, over its part of the memory", 3 << 20, 3 << 20, nil, 0, ErrMemory},
		{"long, in chunks, over its part of the memory", 3 << 20, -1, nil, limit, ErrMemory},
		{"broken off", 50_000, 100_000, broken, 100_000, broken},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			memory, clock := NewMemory(limit), timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			text := bytes.Repeat([]byte("x"), test.bytes)
			source := io.Reader(bytes.NewReader(text))
			if test.end != nil {
				source = io.MultiReader(source, iotest.ErrReader(test.end))
			}
			from := &watched{Reader: source, memory: memory, clock: clock}
			body, err := Read(from, test.length, Settings{
				Memory: memory, Timeout: 10 * timekeeper.Second, Now: clock.Clock().Now, SetDeadline: func(timekeeper.Span) {},
			})
			So(from.most, ShouldBeLessThanOrEqualTo, test.most)
			if test.err != nil {
				So(eris.Is(err, test.err), ShouldBeTrue)
				So(memory.Used(), ShouldEqual, 0)
				return
			}
			So(err, ShouldBeNil)
			So(bytes.Equal(body.Text(), text), ShouldBeTrue)
			So(memory.Used(), ShouldBeGreaterThanOrEqualTo, len(text))
			body.Release()
			body.Release()
			So(memory.Used(), ShouldEqual, 0)
		})
	}
}

func TestThePaceOfLongBodies(t *testing.T) {
	// Guards against a long body that keeps its memory without arriving, and a short one that is hurried.
	const timeout = 10 * timekeeper.Second
	tests := []struct {
		name  string
		bytes int
		// first and last are the first deadline that holds and the last one, from the start.
		first, last timekeeper.Span
	}{
		{"short", MaxShort, timeout, timeout},
		{"long", 1 << 20, paceGrace + 250, paceGrace + 4000},
		{"longer than the timeout at its pace", 3 << 20, paceGrace + 250, timeout},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			clock := timekeeper.NewManual(timekeeper.Instant(timekeeper.Hour))
			var deadlines []timekeeper.Span
			_, err := Read(iotest.HalfReader(bytes.NewReader(make([]byte, test.bytes))), int64(test.bytes), Settings{
				Memory: NewMemory(64 << 20), Timeout: timeout, Now: clock.Clock().Now,
				SetDeadline: func(span timekeeper.Span) { deadlines = append(deadlines, span) },
			})
			So(err, ShouldBeNil)
			if len(deadlines) > 1 {
				deadlines = deadlines[1:]
			}
			So(deadlines[0], ShouldEqual, test.first)
			So(deadlines[len(deadlines)-1], ShouldBeGreaterThanOrEqualTo, test.first)
			So(deadlines[len(deadlines)-1], ShouldBeLessThanOrEqualTo, test.last)
		})
	}
}
