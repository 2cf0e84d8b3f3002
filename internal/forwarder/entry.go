package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings set up an entry. All fields without a stated default must be set.
type Settings struct {
	Name string
	Site string
	// Incarnation sets this process apart from earlier ones of the same name.
	Incarnation uint64
	Clock       timekeeper.Clock
	Log         logrus.FieldLogger
	Scope       tally.Scope
	Pool        *dialer.Pool
	// Config returns the configuration in force.
	Config func() resolver.Config
	// Roster returns the replicas of a service that may get new work.
	Roster func(service string) placer.Roster
	// Holders returns those of them that hold an adapter; nil means that none is known.
	Holders func(service, adapter string) placer.Roster
	// Locate returns the address of a replica that is listed, also of one that
	// gets no new work.
	Locate func(instance string) (address string, known bool)
	// Claimed returns the request that has claimed a key, by the key of its row;
	// nil means that no key is ever claimed.
	Claimed func(ctx context.Context, rowKey string) (request string, found bool, err error)
	// Learn takes in a digest that came with an answer; nil means it is dropped.
	Learn func(digest *encoder.Digest)
	// Failed takes a replica that could not be reached, or could not be asked
	// what became of a call; nil means it is dropped.
	Failed func(service, instance string)
	// Record takes events of the fleet's record; nil means they are dropped.
	Record func(event recorder.Event)
	// BodyTimeout bounds the arrival of a request body; zero means 10 seconds.
	BodyTimeout timekeeper.Span
	// WriteTimeout bounds each write to a caller; zero means 20 seconds.
	WriteTimeout timekeeper.Span
}

func (settings Settings) withDefaults() Settings {
	if settings.BodyTimeout == 0 {
		settings.BodyTimeout = 10 * timekeeper.Second
	}
	if settings.WriteTimeout == 0 {
		settings.WriteTimeout = 20 * timekeeper.Second
	}
	if settings.Claimed == nil {
		settings.Claimed = func(context.Context, string) (string, bool, error) { return "", false, nil }
	}
	if settings.Learn == nil {
		settings.Learn = func(*encoder.Digest) {}
	}
	if settings.Failed == nil {
		settings.Failed = func(string, string) {}
	}
	if settings.Locate == nil {
		settings.Locate = func(string) (string, bool) { return "", false }
	}
	if settings.Record == nil {
		settings.Record = recorder.Discard
	}
	return settings
}

// Entry is the HTTP handler for callers.
type Entry struct {
	settings Settings
	serial   atomic.Uint64
	demand   *demand
	keys     keyTable
	budgets  *budgets
	away     *absent
	hints    hints
}

// New returns an entry.
func New(settings Settings) *Entry {
	return &Entry{
		settings: settings.withDefaults(),
		demand:   newDemand(),
		budgets:  newBudgets(),
		away:     newAbsent(),
	}
}

// ServeHTTP serves one call.
func (entry *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := entry.nextID()
	w.Header().Set(encoder.RequestHeader, id)
	w.Header().Set("X-Request-Id", correlation(r, id))
	if r.URL.Path == keysPath {
		entry.serveKeys(w, r, id)
		return
	}
	if wish, ok := resumes(r); ok {
		if err := entry.serveStream(w, r, id, wish); err != nil {
			entry.refuse(w, id, err)
		}
		return
	}
	call, err := entry.classify(w, r, id)
	if err != nil {
		entry.refuse(w, id, err)
		return
	}
	if err := entry.carry(r.Context(), w, call); err != nil {
		entry.refuse(w, id, entry.ofKey(r.Context(), call, err))
	}
}

// nextID returns an id that no other request of the fleet has: it names the
// entry's incarnation and counts on.
func (entry *Entry) nextID() string {
	serial := entry.serial.Add(1)
	return entry.settings.Name + "-" + strconv.FormatUint(entry.settings.Incarnation, 36) + "-" + strconv.FormatUint(serial, 36)
}

func (entry *Entry) refuse(w http.ResponseWriter, id string, err error) {
	failure := classifier.Of(err)
	entry.recordRefusal(id, failure)
	entry.settings.Scope.Tagged(map[string]string{"kind": failure.Kind.String()}).Counter("refusals").Inc(1)
	entry.settings.Log.WithFields(logrus.Fields{
		"request-id": id,
		"reason":     failure.Kind.String(),
		"detail":     failure.Detail,
		"ran":        string(classifier.AnswerOf(failure.Kind).Ran),
	}).Info("refused")
	classifier.Write(w, failure, id)
}

// correlation returns the caller's own request id when it is sound, else ours.
func correlation(r *http.Request, id string) string {
	const longest = 128
	given := r.Header.Get("X-Request-Id")
	if given == "" || len(given) > longest || !printable(given) {
		return id
	}
	return given
}

func printable(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}
