package storekeeper

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
)

func TestAnObjectLongerThanTheBound(t *testing.T) {
	// Guards against an object that is cut off at the bound of an answer and taken for a whole one.
	tests := []struct {
		name   string
		length int
		whole  bool
	}{{"as long as the bound", maxAnswerBytes, true}, {"a byte longer", maxAnswerBytes + 1, false}}
	for _, test := range tests {
		Convey(test.name, t, func() {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, test.length))
			}))
			defer server.Close()
			platform, release := Remote(server.URL)
			defer release()
			object, err := platform.Objects.Get(t.Context(), "record/1")
			if test.whole {
				So(err, ShouldBeNil)
				So(object, ShouldHaveLength, test.length)
				return
			}
			So(eris.Is(err, ErrUnknown), ShouldBeTrue)
			So(object, ShouldBeNil)
		})
	}
}
