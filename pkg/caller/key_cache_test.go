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

func TestAKeyCacheGivesEachKeyOnce(t *testing.T) {
	// A key that is given out twice would make the second order a replay of the
	// first; one that is about to end could not be sent again.
	clock := timekeeper.NewManual(0)
	lots := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		lots++
		lot := strconv.Itoa(lots)
		ends := clock.Now().Add(timekeeper.Hour).String()
		_, _ = io.WriteString(w, `{"keys":["a`+lot+`","b`+lot+`"],"expires":"`+ends+`"}`)
	}))
	defer server.Close()
	van := caller.New(caller.Settings{Entries: []string{server.URL}, Clock: clock.Clock()})
	cache := van.KeyCache("orders")
	tests := []struct {
		name  string
		after timekeeper.Span
		drop  bool
		want  string
	}{
		{"the first", 0, false, "a1"},
		{"the second", 0, false, "b1"},
		{"a new lot", 0, false, "a2"},
		{"an old lot", 56 * timekeeper.Minute, false, "a3"},
		{"a lot whose agent is gone", 0, true, "a4"},
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
