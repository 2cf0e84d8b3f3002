package forwarder

import (
	"io"
	"net"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestBodiesBeyondTheMemory(t *testing.T) {
	// Guards against bodies on their way that take more memory together than the entry has for them.
	const length, full = 1000, "the memory for request bodies is used up"
	head := "POST /orders HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 1000\r\n\r\n"
	Convey("a second body is refused while the first is on its way, and not after it", t, func() {
		server := startEntryWith(t, func(settings *Settings) {
			settings.BodyMemory, settings.BodyTimeout = length+500, 5*timekeeper.Second
		})
		first, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", server.Listener.Addr().String())
		So(err, ShouldBeNil)
		_, _ = io.WriteString(first, head+strings.Repeat("x", length/2))
		entry, _ := server.Config.Handler.(*Entry)
		awaitBodies := func(bytes int64) {
			for entry.bodies.Used() != bytes {
				_ = timekeeper.Steady().Sleep(t.Context(), 1)
			}
		}
		awaitBodies(length)
		refused := exchange(t, server, head+strings.Repeat("x", length), false)
		So(refused, ShouldStartWith, "503")
		So(refused, ShouldContainSubstring, full)
		So(refused, ShouldContainSubstring, `"ran":"no"`)
		_ = first.Close()
		awaitBodies(0)
		refused = exchange(t, server, head+strings.Repeat("x", length), false)
		So(refused, ShouldNotContainSubstring, full)
	})
}
