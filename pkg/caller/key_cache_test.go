package caller_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/caller"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

func TestKeyCacheReturnsEachKeyOnce(t *testing.T) {
	// Guards against a key that is returned twice, which makes the second order a replay
	// of the first, and a key that is about to expire, with which no call can be resent.
	clock := timekeeper.NewManual(0)
	batches := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		batches++
		batch := strconv.Itoa(batches)
		expires := clock.Now().Add(timekeeper.Hour).String()
		_, _ = io.WriteString(w, `{"keys":["a`+batch+`","b`+batch+`"],"expires":"`+expires+`"}`)
	}))
	defer server.Close()
	client := caller.New(caller.Settings{Entries: []string{server.URL}, Clock: clock.Clock()})
	cache := client.KeyCache("orders")
	tests := []struct {
		name  string
		after timekeeper.Span
		drop  bool
		want  string
	}{
		{"the first key", 0, false, "a1"},
		{"the second key", 0, false, "b1"},
		{"a new batch", 0, false, "a2"},
		{"a batch that is about to expire", 56 * timekeeper.Minute, false, "a3"},
		{"a batch after Drop", 0, true, "a4"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			clock.Advance(test.after)
			if test.drop {
				cache.Drop()
			}
			key, err := cache.Take(t.Context())
			So(err, ShouldBeNil)
			So(key, ShouldEqual, test.want)
		})
	}
}
