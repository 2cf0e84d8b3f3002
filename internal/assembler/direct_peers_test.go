package assembler

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform"
)

func TestACopyLongerThanTheBound(t *testing.T) {
	// Guards against a configuration or a list of a peer that is cut off and taken for a whole one.
	tests := []struct {
		name   string
		length int
		whole  bool
	}{{"as long as the bound", maxFetchBytes, true}, {"a byte longer", maxFetchBytes + 1, false}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, test.length))
			}))
			defer server.Close()
			peers := &peers{client: server.Client()}
			text, err := peers.fetch(t.Context(), server.Listener.Addr().String(), pathReplicas)
			So(err == nil, ShouldEqual, test.whole)
			So(len(text) > 0, ShouldEqual, test.whole)
		})
	}
}

func TestPeersThatDoNotReadTheirCopy(t *testing.T) {
	// Guards against peers that ask for copies and don't read them, and so keep others from theirs.
	Convey("others get theirs after the timeout", t, func() {
		direct := &Direct{}
		direct.document.Store(&platform.Document{Raw: make([]byte, maxFetchBytes)})
		peers := &peers{direct: direct, client: http.DefaultClient}
		server := httptest.NewServer(peers)
		defer server.Close()
		address := server.Listener.Addr().String()
		for range maxTransfers {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
			So(err, ShouldBeNil)
			defer func() { _ = conn.Close() }()
			_, _ = io.WriteString(conn, "GET "+pathConfiguration+" HTTP/1.1\r\nHost: peer\r\n\r\n")
		}
		for peers.transfers.active.Load() < maxTransfers {
			_ = timekeeper.Steady().Sleep(t.Context(), 1)
		}
		_, err := peers.fetch(t.Context(), address, pathConfiguration)
		So(err, ShouldNotBeNil)
		_ = timekeeper.Steady().Sleep(t.Context(), transferTimeout+500)
		text, err := peers.fetch(t.Context(), address, pathConfiguration)
		So(err, ShouldBeNil)
		So(text, ShouldHaveLength, maxFetchBytes)
	})
}
