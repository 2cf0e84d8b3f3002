package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/limiter"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings configures a Caller.
type Settings struct {
	// Entries are the base URLs of entries, such as "http://127.0.0.1:8080"; tries
	// go through them in turn. At least one is required.
	Entries []string
	// Key is the team's API key.
	Key string
	// Tries is the maximum number of times that a call is sent; zero means 5.
	Tries int
	// Pause is the backoff before the first resend, and doubles with each resend. A
	// longer Retry-After takes its place. Zero means 200 milliseconds.
	Pause timekeeper.Span
	// MaxAnswerBytes bounds the body of an answer and an event of a stream; zero means 64 MiB.
	// A call whose answer is longer fails with ErrUnknown; a stream breaks off there, and is resumed.
	MaxAnswerBytes int64
	// Client sends the requests; nil means a client without keep-alive, so that the
	// transport never resends a request by itself. It also rejects answers that were reset
	// or aren't HTTP/1.1, which a transport of net/http may take for whole ones.
	Client *http.Client
	// Clock times the pauses between tries and the expiry of cached keys; the zero value
	// means the wall clock.
	Clock timekeeper.Clock
}

// Errors that Send and KeyCache.Take wrap.
var (
	// ErrUnknown means that the call may have run and its answer is not available.
	ErrUnknown = eris.New("whether the call ran is not known")
	// ErrNotRun means that the call was refused and did not run.
	ErrNotRun = eris.New("the call did not run")
)

const noEntriesMessage = "caller: at least one entry is needed"

// Caller makes calls for one team. Its methods are safe for concurrent use.
type Caller struct {
	settings Settings
}

// New returns a caller. It panics if settings.Entries is empty.
func New(settings Settings) *Caller {
	if len(settings.Entries) == 0 {
		panic(noEntriesMessage)
	}
	if settings.Tries == 0 {
		settings.Tries = 5
	}
	if settings.Pause == 0 {
		settings.Pause = 200 * timekeeper.Millisecond
	}
	if settings.MaxAnswerBytes == 0 {
		settings.MaxAnswerBytes = 64 << 20
	}
	if settings.Client == nil {
		settings.Client, _ = limiter.Client(&http.Transport{DisableKeepAlives: true})
	}
	if settings.Clock.Now == nil {
		settings.Clock = timekeeper.Wall()
	}
	return &Caller{settings: settings}
}

// Call is one request.
type Call struct {
	Method string
	Path   string
	Body   []byte
	// Header is sent with every try; it may be nil.
	Header http.Header
	// Key is the Idempotency-Key. If it is empty, Send generates one for a method that
	// is not idempotent.
	Key string
}

// WithKey returns the call with key as its Idempotency-Key.
func (call Call) WithKey(key string) Call {
	call.Key = key
	return call
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Key is the Idempotency-Key that the call was sent with.
	Key string
}

// Problem is the body of a refusal (RFC 9457).
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Ran is "no" when the call did not run, and "unknown" otherwise.
	Ran string `json:"ran"`
}

// Error returns the problem as text.
func (problem Problem) Error() string {
	return problem.Title + " (" + problem.Type + ", ran: " + problem.Ran + ") " + problem.Detail
}

// Send makes a call and returns its complete answer. It resends the call with the same
// key while a retry may succeed. The error wraps ErrNotRun or ErrUnknown and has the
// last failure in its text.
func (caller *Caller) Send(ctx context.Context, call Call) (Answer, error) {
	if call.Key == "" && !idempotent(call.Method) {
		call = call.WithKey(newKey())
	}
	return caller.send(ctx, call)
}

// send makes a call with call.Key, or without a key if that is empty.
func (caller *Caller) send(ctx context.Context, call Call) (Answer, error) {
	pause := caller.settings.Pause
	// After one try whose outcome is unknown, the call may have run: a later refusal says
	// only that the later try did not run.
	mayHaveRun := false
	var last error
	for try := range caller.settings.Tries {
		answer, outcome := caller.try(ctx, call, try)
		if outcome.err == nil {
			return answer, nil
		}
		last = outcome.err
		mayHaveRun = mayHaveRun || outcome.mayHaveRun
		if !outcome.retry || caller.wait(ctx, max(pause, outcome.wait)) != nil {
			break
		}
		pause *= 2
	}
	if mayHaveRun {
		return Answer{}, eris.Wrap(ErrUnknown, last.Error())
	}
	return Answer{}, eris.Wrap(ErrNotRun, last.Error())
}

// outcome is the result of one try.
type outcome struct {
	err        error
	mayHaveRun bool
	retry      bool
	wait       timekeeper.Span
}

func (caller *Caller) try(ctx context.Context, call Call, try int) (Answer, outcome) {
	response, err := caller.do(ctx, call, try)
	if err != nil {
		return Answer{}, outcome{err: err, mayHaveRun: true, retry: ctx.Err() == nil}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := limiter.ReadAll(response.Body, caller.settings.MaxAnswerBytes)
	var long limiter.TooLongError
	if eris.As(err, &long) {
		return Answer{}, outcome{err: err, mayHaveRun: true}
	}
	if err != nil {
		return Answer{}, outcome{err: err, mayHaveRun: true, retry: ctx.Err() == nil}
	}
	if problem, ok := problemOf(response.Header, body); ok {
		return Answer{}, outcomeOf(problem, response.Header)
	}
	return Answer{Status: response.StatusCode, Header: response.Header, Body: body, Key: call.Key}, outcome{}
}

// outcomeOf classifies a refusal. A call with a key may always be resent when its
// outcome is unknown: the key makes it run at most once.
func outcomeOf(problem Problem, header http.Header) outcome {
	retryAfter := header.Get("Retry-After")
	seconds, _ := strconv.Atoi(retryAfter)
	mayHaveRun := problem.Ran != "no"
	return outcome{
		err:        problem,
		mayHaveRun: mayHaveRun,
		retry:      retryAfter != "" || mayHaveRun,
		wait:       timekeeper.Span(seconds) * timekeeper.Second,
	}
}

func (caller *Caller) do(ctx context.Context, call Call, try int) (*http.Response, error) {
	base := caller.settings.Entries[try%len(caller.settings.Entries)]
	request, err := http.NewRequestWithContext(ctx, call.Method, base+call.Path, strings.NewReader(string(call.Body)))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	request.Header.Set("Authorization", "Bearer "+caller.settings.Key)
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	return caller.settings.Client.Do(request)
}

func (caller *Caller) wait(ctx context.Context, span timekeeper.Span) error {
	return caller.settings.Clock.Sleep(ctx, span)
}

func problemOf(header http.Header, body []byte) (Problem, bool) {
	if header.Get("Content-Type") != "application/problem+json" {
		return Problem{}, false
	}
	var problem Problem
	if json.Unmarshal(body, &problem) != nil || problem.Ran == "" {
		return Problem{}, false
	}
	return problem, true
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

func newKey() string {
	var bytes [16]byte
	_, _ = rand.Read(bytes[:])
	return hex.EncodeToString(bytes[:])
}
