package assembler

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

func TestAnActorThatEndsEndsTheProcess(t *testing.T) {
	// A part of an entry ends that should not, such as the listener for its peers.
	// The entry stops as a whole, so that it is started again; it must not go on
	// half, answering callers with what it knew.
	store := httptest.NewServer(emulator.NewStore(timekeeper.Steady()))
	defer store.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := loader.Direct{
		Name: "entry-1", DataCentre: "bole", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Store: store.Listener.Addr().String(), StopDelay: 10, StopGrace: timekeeper.Second, Bound: 2,
	}
	direct, release, err := NewDirect(context.Background(), settings, "", log)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	var group run.Group
	direct.AddTo(&group)
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	_ = direct.listeners.peers.Close()
	Convey("with the error of that part", t, func() {
		err := <-ended
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "serve")
	})
}
