package publisher

import (
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

func TestAPeerThatNeverAnswersIsGivenUpOn(t *testing.T) {
	// The asker would wait for ever, and its loop with it.
	// A peer takes the stream and says nothing. Closing a yamux stream on this
	// side leaves a reader asleep; only the deadline wakes it.
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
	Convey("the question ends with an error", t, func() {
		_, err := Exchange(t.Context(), pool, listener.Addr().String(), &encoder.DigestAsk{})
		So(err, ShouldNotBeNil)
	})
}
