package limiter

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/rotisserie/eris"
	. "github.com/smartystreets/goconvey/convey"
)

func TestTextsOverTheBound(t *testing.T) {
	// Guards against a text that is cut off at its bound and taken for a whole one.
	tests := []struct {
		text string
		long bool
	}{{"", false}, {"12", false}, {"1234", false}, {"12345", true}, {strings.Repeat("1", 1<<20), true}}
	for _, test := range tests {
		Convey(test.text[:min(len(test.text), 8)], t, func() {
			text, err := ReadAll(strings.NewReader(test.text), 4)
			var long TooLongError
			So(eris.As(err, &long), ShouldEqual, test.long)
			if !test.long {
				So(string(text), ShouldEqual, test.text)
			}
			var number int
			So(Decode(strings.NewReader(test.text), 4, &number) == nil, ShouldEqual, !test.long && test.text != "")
		})
	}
}

func TestHeadsOverTheBound(t *testing.T) {
	// Guards against the head of an answer that takes ten megabytes, the default of net/http.
	Convey("an answer with a long head fails", t, func() {
		for _, length := range []int{1000, 2 * MaxHeadBytes} {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Field", strings.Repeat("v", length))
				_, _ = io.WriteString(w, "ok")
			}))
			client, release := Client(&http.Transport{})
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, http.NoBody)
			response, err := client.Do(request)
			So(err == nil, ShouldEqual, length < MaxHeadBytes)
			if err == nil {
				_ = response.Body.Close()
			}
			release()
			server.Close()
		}
	})
}
