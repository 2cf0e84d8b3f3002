package assembler

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
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
