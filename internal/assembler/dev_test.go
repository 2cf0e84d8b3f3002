package assembler

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

var errStop = eris.New("the test is over")

// startDev runs a small site for a test and returns the base address of its first entry.
func startDev(t *testing.T) string {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var group run.Group
	env := Environment{Clock: timekeeper.Wall(), Log: log}
	dev, release, err := NewDev(context.Background(), DevSettings{Listen: loopback}, env, &group)
	if err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	group.Add(func() error { <-stop; return errStop }, func(error) {})
	done := make(chan error, 1)
	go func() { done <- group.Run() }()
	t.Cleanup(func() {
		close(stop)
		if err := <-done; !eris.Is(err, errStop) {
			t.Error(err)
		}
		release()
	})
	return "http://" + dev.Entries[0]
}

// call makes one call. It may be called from any goroutine of a test.
func call(t *testing.T, method, address, body string, headers ...string) (status int, header http.Header, text string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, address, strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0, nil, ""
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Error(err)
		return 0, nil, ""
	}
	defer func() { _ = response.Body.Close() }()
	whole, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return response.StatusCode, response.Header, string(whole)
}

func TestDevAnswersCalls(t *testing.T) {
	base := startDev(t)
	bearer := "Bearer " + DevKey
	const turn = `{"model":"planner","stream":true,"max_tokens":3,
		"messages":[{"role":"user","content":"rebuild the route of van seven from the ledger"}]}`
	tests := []struct {
		name, method, path, body, key string
		status                        int
		contains, cached              string
	}{
		{"the first turn is streamed to its end", "POST", "/v1/chat/completions", turn, bearer, 200, "data: [DONE]", "0"},
		{"the second turn has its prefix cached", "POST", "/v1/chat/completions", turn, bearer, 200, "data: [DONE]", "8"},
		{"a plain read", "GET", "/orders", "", bearer, 200, `"method":"GET"`, ""},
		{"a plain write", "POST", "/orders", `{"meals":40}`, bearer, 200, `"method":"POST"`, ""},
		{"an unknown key", "GET", "/orders", "", "Bearer nobody", 401, `"ran":"no"`, ""},
		{"an unknown path", "GET", "/nowhere", "", bearer, 404, `"ran":"no"`, ""},
		{"an unknown model", "POST", "/v1/chat/completions", `{"model":"none"}`, bearer, 404, "not-found", ""},
		{"a body that is not JSON", "POST", "/v1/chat/completions", `{"model":`, bearer, 400, "bad-request", ""},
		{"a wrong method", "GET", "/v1/chat/completions", "", bearer, 405, "method-not-allowed", ""},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			status, header, text := call(t, test.method, base+test.path, test.body,
				"Authorization", test.key, "Trefoilseam-Chat", "van-7")
			So(status, ShouldEqual, test.status)
			So(text, ShouldContainSubstring, test.contains)
			So(header.Get("Trefoilseam-Cached"), ShouldEqual, test.cached)
		})
	}
}

func TestDevStopsInOrder(t *testing.T) {
	// Guards against calls that are cut off because a whole site stops at once. Entries
	// must stop first, after their calls in flight have ended, then agents, then
	// upstreams, so that callers get whole answers.
	var group run.Group
	log := logrus.New()
	log.SetOutput(io.Discard)
	env := Environment{Clock: timekeeper.Wall(), Log: log}
	dev, release, err := NewDev(context.Background(), DevSettings{Listen: loopback}, env, &group)
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	stop, done := make(chan struct{}), make(chan error, 1)
	group.Add(func() error { <-stop; return errStop }, func(error) {})
	go func() { done <- group.Run() }()
	statuses := make(chan int, 20)
	for range cap(statuses) {
		go func() {
			status, _, _ := call(t, "POST", "http://"+dev.Entries[0]+"/v1/chat/completions",
				`{"model":"planner","stream":true,"max_tokens":60,"messages":[]}`, "Authorization", "Bearer "+DevKey)
			statuses <- status
		}()
	}
	first := <-statuses
	close(stop)
	Convey("every call in flight gets its whole answer", t, func() {
		So(first, ShouldEqual, 200)
		for range cap(statuses) - 1 {
			So(<-statuses, ShouldEqual, 200)
		}
		So(eris.Is(<-done, errStop), ShouldBeTrue)
	})
}

func TestNoCallIsRefusedBelowCapacity(t *testing.T) {
	// Guards against refusals while slots are free. Fifty-six callers start at once, each
	// with four turns of a chat, on an idle site of nine planners with eight slots each.
	// The digests that agents exchange are older than the burst, so they don't show its
	// load; more than a fifth of the slots stay free.
	base := startDev(t)
	const callers, turns = 56, 4
	statuses := make(chan int, callers*turns)
	for caller := range callers {
		go func() {
			for range turns {
				status, _, _ := call(t, "POST", base+"/v1/chat/completions",
					`{"model":"planner","stream":true,"max_tokens":24,"messages":[{"role":"user","content":"rebuild the route of the van"}]}`,
					"Authorization", "Bearer "+DevKey, "Trefoilseam-Chat", "van-"+strconv.Itoa(caller))
				statuses <- status
			}
		}()
	}
	Convey("every turn is answered", t, func() {
		refused := 0
		for range callers * turns {
			if <-statuses != http.StatusOK {
				refused++
			}
		}
		So(refused, ShouldEqual, 0)
	})
}
