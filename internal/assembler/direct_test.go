package assembler

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

// directOnLoopback returns an entry with an empty store.
func directOnLoopback(t *testing.T) (*Direct, func()) {
	t.Helper()
	return directWithStore(t, emulator.NewStore(timekeeper.Steady()))
}

// directWithStore returns an entry that uses the given store.
func directWithStore(t *testing.T, emulated *emulator.Store) (*Direct, func()) {
	t.Helper()
	store := httptest.NewServer(emulated)
	t.Cleanup(store.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := loader.Direct{
		Name: "entry-1", DataCentre: "bole", Listen: "127.0.0.1:0", ReadyListen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		Store: store.Listener.Addr().String(), StopDelay: 10, StopGrace: timekeeper.Second, LoadFactor: 2, DrainTime: 2 * timekeeper.Second,
	}
	direct, release, err := NewDirect(context.Background(), settings, "", DirectEnvironment{Log: log, DroppedLines: func() int64 { return 3 }})
	if err != nil {
		t.Fatal(err)
	}
	return direct, release
}

func TestFailedActorEndsProcess(t *testing.T) {
	// Guards against an entry that goes on serving callers, with stale state, after one of
	// its actors has failed, such as the listener for peers. The whole entry must stop, so
	// that it is restarted.
	direct, release := directOnLoopback(t)
	defer release()
	var group run.Group
	direct.AddTo(&group)
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	_ = direct.listeners.peer.Close()
	Convey("the process ends with the error of that actor", t, func() {
		err := <-ended
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, "serve")
	})
}

func TestConfigurationNeverReverts(t *testing.T) {
	// Guards against a revoked key that becomes valid again: the store's answer and a
	// peer's copy arrive in any order, and an older configuration replaces a newer one.
	direct, release := directOnLoopback(t)
	defer release()
	tests := []struct {
		name     string
		version  int
		from     string
		expected uint64
	}{
		{"the first version", 5, "store", 5},
		{"an older version from a peer", 4, "peer 127.0.0.1:1", 5},
		{"an older version from the store", 3, "store", 5},
		{"a newer version from a peer", 6, "peer 127.0.0.1:1", 6},
		{"the previous version from the store", 5, "store", 6},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			document, err := platform.DecodeConfiguration(fmt.Appendf(nil, `{"version":%d}`, test.version))
			So(err, ShouldBeNil)
			direct.applyConfiguration(document, test.from)
			So(direct.config().Version(), ShouldEqual, test.expected)
		})
	}
}

// TestConcurrentConfigurationsNeverRevert lets the store and two peers deliver versions
// concurrently in any order, while a reader polls the version in force. The reader must
// never see an older version after a newer one, and in the end the newest must be in
// force, whichever source delivered it.
func TestConcurrentConfigurationsNeverRevert(t *testing.T) {
	direct, release := directOnLoopback(t)
	defer release()
	base := uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		sources := make([][]uint64, 3)
		newest := direct.version()
		for i := range sources {
			sources[i] = rapid.SliceOfN(rapid.Uint64Range(base+1, base+20), 1, 10).Draw(t, "versions")
			newest = max(newest, slices.Max(sources[i]))
		}
		base += 10
		var deliveries sync.WaitGroup
		for _, versions := range sources {
			deliveries.Go(func() {
				for _, version := range versions {
					document, err := platform.DecodeConfiguration(fmt.Appendf(nil, `{"version":%d}`, version))
					if err == nil {
						direct.applyConfiguration(document, "test")
					}
				}
			})
		}
		ended := make(chan struct{})
		go func() { deliveries.Wait(); close(ended) }()
		last := uint64(0)
		for over := false; !over; {
			select {
			case <-ended:
				over = true
			default:
			}
			now := direct.version()
			if now < last {
				t.Fatalf("version %d after %d", now, last)
			}
			last = now
		}
		if last != newest {
			t.Fatalf("version %d in force, %d was delivered", last, newest)
		}
	})
}

func TestProcessorsOfASmallProcess(t *testing.T) {
	// Guards against an entry with little memory that runs a thread for each of the many processors of its
	// machine, and ends when it is allowed no more.
	tests := []struct {
		name                       string
		megabytes, available, want int
	}{
		{"no limit", 0, 64, 64},
		{"a small entry on a large machine", 284, 64, 4},
		{"a large entry on a large machine", 8192, 64, 64},
		{"a tiny entry", 32, 64, 2},
		{"one processor", 284, 1, 1},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			So(processorsFor(test.megabytes, test.available), ShouldEqual, test.want)
		})
	}
}
