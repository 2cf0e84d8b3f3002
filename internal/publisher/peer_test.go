package publisher

import (
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

func TestExchangeTimesOutWithoutAnswer(t *testing.T) {
	// Guards against a caller that blocks forever, because a peer accepts the stream and
	// never answers. Closing a yamux stream locally doesn't wake its reader; only the
	// deadline does.
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			session, _ := yamux.Server(conn, dialer.Settings{}.SessionConfig())
			_, _ = session.Accept()
		}
	}()
	pool, release := dialer.NewPool(dialer.Settings{})
	defer release()
	Convey("the request ends with an error", t, func() {
		_, err := Exchange(t.Context(), pool, listener.Addr().String(), &encoder.DigestAsk{})
		So(err, ShouldNotBeNil)
	})
}
