package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/receiver"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// beginBody sends the head of a request, with an announced length or, if that is negative, in chunks.
func beginBody(t *testing.T, address string, length int) upload {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return begin(t, address, "kitchen.example", framing)
}

// chunk sends a chunk of a length.
func (upload upload) chunk(length int) {
	_, _ = fmt.Fprintf(upload.conn, "%x\r\n%s\r\n", length, strings.Repeat("x", length))
}

// send sends bytes of the body.
func (upload upload) send(count int) { _, _ = io.WriteString(upload.conn, strings.Repeat("x", count)) }

// bodyMemory is the memory for bodies of the entry of bodySite, in bytes.
const bodyMemory = 4 << 20

// bodySite returns an entry and its address.
func bodySite(t *testing.T) (*Entry, string) {
	sound := func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(plainHead, "{id}", id)+"Content-Length: 2\r\n\r\nok")
	}
	entry, _ := endlessEntry(t, twoReplicas(t, sound, sound), router.Route{Kind: router.Once}, Call{Deadline: 20 * timekeeper.Second})
	entry.bodies = receiver.NewMemory(bodyMemory)
	front := httptest.NewServer(entry)
	t.Cleanup(front.Close)
	return entry, front.Listener.Addr().String()
}

// awaitHeld waits until bodies hold an amount of memory.
func awaitHeld(t *testing.T, entry *Entry, bytes int64) int64 {
	for range 2000 {
		if entry.bodies.Used() == bytes {
			break
		}
		_ = timekeeper.Steady().Sleep(t.Context(), 5)
	}
	return entry.bodies.Used()
}

func TestBodiesThatArriveAtOnce(t *testing.T) {
	// Guards against bodies on their way that take more memory than the entry has for them, and
	// against long ones that keep out short ones.
	const callers, length = 20, 1 << 20
	tests := []struct {
		name    string
		chunked bool
	}{{"announced", false}, {"in chunks", true}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry, address := bodySite(t)
			var sending sync.WaitGroup
			var mu sync.Mutex
			statuses, most := map[int]int{}, int64(0)
			for range callers {
				sending.Go(func() {
					one := beginBody(t, address, map[bool]int{false: length, true: -1}[test.chunked])
					for range 16 {
						if test.chunked {
							one.chunk(length / 16)
						} else {
							one.send(length / 16)
						}
						mu.Lock()
						most = max(most, entry.bodies.Used())
						mu.Unlock()
						_ = timekeeper.Steady().Sleep(t.Context(), 20)
					}
					if test.chunked {
						_, _ = io.WriteString(one.conn, "0\r\n\r\n")
					}
					status, retryAfter := one.status(5 * timekeeper.Second)
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
					if status == http.StatusServiceUnavailable && retryAfter == "" {
						statuses[-1]++
					}
				})
			}
			_ = timekeeper.Steady().Sleep(t.Context(), 100)
			short := beginBody(t, address, 100_000)
			short.send(100_000)
			status, _ := short.status(5 * timekeeper.Second)
			sending.Wait()
			So(status, ShouldEqual, http.StatusOK)
			So(most, ShouldBeLessThanOrEqualTo, bodyMemory)
			So(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], ShouldEqual, callers)
			So(statuses[-1], ShouldEqual, 0)
			So(statuses[http.StatusServiceUnavailable], ShouldBeGreaterThan, 0)
			if !test.chunked {
				So(statuses[http.StatusOK], ShouldBeGreaterThanOrEqualTo, 2)
			}
			So(awaitHeld(t, entry, 0), ShouldEqual, 0)
		})
	}
}

func TestBodiesThatStopArriving(t *testing.T) {
	// Guards against senders that hold the memory for long bodies without sending, and against
	// memory that isn't returned.
	const length = 2 << 20
	tests := []struct {
		name   string
		length int
		send   func(one upload)
		status int
	}{
		{"a long body of which nothing comes", length, func(upload) {}, http.StatusRequestTimeout},
		{"a long body of which half comes", length, func(one upload) { one.send(length / 2) }, http.StatusRequestTimeout},
		{"a long body in chunks of which half comes", -1, func(one upload) { one.chunk(length / 2) }, http.StatusRequestTimeout},
		{"a body in chunks over the limit", -1, func(one upload) { one.chunk(defaultBodyLimit + 1) }, http.StatusRequestEntityTooLarge},
		{"a caller that leaves", length, func(one upload) { _ = one.conn.Close() }, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			entry, address := bodySite(t)
			if test.length < 0 {
				entry.bodies = receiver.NewMemory(64 << 20)
			}
			first := beginBody(t, address, test.length)
			if test.length > 0 {
				So(awaitHeld(t, entry, length), ShouldEqual, length)
			}
			test.send(first)
			began := timekeeper.Steady().Now()
			status, _ := first.status(bodyTimeout)
			So(status, ShouldEqual, test.status)
			So(awaitHeld(t, entry, 0), ShouldEqual, 0)
			So(timekeeper.Steady().Now().Since(began), ShouldBeLessThan, bodyTimeout-timekeeper.Second)
			next := beginBody(t, address, length)
			next.send(length)
			status, _ = next.status(bodyTimeout)
			So(status, ShouldEqual, http.StatusOK)
		})
	}
}

func TestSlowSendersOfShortBodies(t *testing.T) {
	// Guards against senders that announce bodies and don't send them, and leave others no memory.
	Convey("a hundred of them leave room for a long body", t, func() {
		entry, address := bodySite(t)
		for range 100 {
			beginBody(t, address, receiver.MaxShort)
		}
		So(awaitHeld(t, entry, 100*receiver.FirstBytes), ShouldEqual, 100*receiver.FirstBytes)
		long := beginBody(t, address, 1<<20)
		long.send(1 << 20)
		status, _ := long.status(5 * timekeeper.Second)
		So(status, ShouldEqual, http.StatusOK)
	})
}
