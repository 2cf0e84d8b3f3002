package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/claimer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/placer"
	"github.com/trefoilseam/trefoilseam/internal/receiver"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings configure an entry. Fields without a stated default must be set.
type Settings struct {
	Name string
	Site string
	// Incarnation distinguishes this process from earlier ones of the same name.
	Incarnation uint64
	Clock       timekeeper.Clock
	Log         logrus.FieldLogger
	Scope       tally.Scope
	Pool        *dialer.Pool
	// Config returns the configuration in force.
	Config func() resolver.Config
	// Roster returns the replicas of a service that may get new work.
	Roster func(service string) placer.Roster
	// AdapterHolders returns the replicas of the roster that hold an adapter; nil
	// means that none is known.
	AdapterHolders func(service, adapter string) placer.Roster
	// Locate returns the address of a listed replica, including one that gets no
	// new work.
	Locate func(instance string) (address string, known bool)
	// FindClaim returns the request that has claimed a key, by the key of its row;
	// nil means that no key is ever claimed.
	FindClaim func(ctx context.Context, rowKey string) (request string, found bool, err error)
	// OnClaimedRun is called before a request is sent that has claimed its key, with the key of
	// the claim's row; nil ignores it.
	OnClaimedRun func(rowKey string, owner claimer.Owner, fingerprint uint64)
	// OnDigest receives the digests that arrive with answers and refusals; nil
	// drops them.
	OnDigest func(digest *encoder.Digest)
	// OnUnreachable receives a replica that could not be reached, or could not be
	// asked what became of a call; nil drops it.
	OnUnreachable func(service, instance string)
	// Record receives events for the fleet's record; nil drops them.
	Record func(event recorder.Event)
	// BodyTimeout bounds the time to receive a request body; zero means 10 seconds.
	BodyTimeout timekeeper.Span
	// BodyMemory bounds the request bodies in memory together, in bytes; zero means 256 MiB.
	BodyMemory int64
	// WriteTimeout bounds each write to a caller; zero means 20 seconds.
	WriteTimeout timekeeper.Span
}

func (settings Settings) withDefaults() Settings {
	if settings.BodyTimeout == 0 {
		settings.BodyTimeout = 10 * timekeeper.Second
	}
	if settings.BodyMemory == 0 {
		settings.BodyMemory = 256 << 20
	}
	if settings.WriteTimeout == 0 {
		settings.WriteTimeout = 20 * timekeeper.Second
	}
	if settings.FindClaim == nil {
		settings.FindClaim = func(context.Context, string) (string, bool, error) { return "", false, nil }
	}
	if settings.OnClaimedRun == nil {
		settings.OnClaimedRun = func(string, claimer.Owner, uint64) {}
	}
	if settings.OnDigest == nil {
		settings.OnDigest = func(*encoder.Digest) {}
	}
	if settings.OnUnreachable == nil {
		settings.OnUnreachable = func(string, string) {}
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
	settings    Settings
	serial      atomic.Uint64
	inFlight    *inFlight
	keys        keyTable
	budgets     *budgets
	unreachable *unreachableReplicas
	strikeCache strikeCache
	bodies      *receiver.Memory
}

// New returns an entry with the given settings.
func New(settings Settings) *Entry {
	settings = settings.withDefaults()
	return &Entry{
		settings:    settings,
		bodies:      receiver.NewMemory(settings.BodyMemory),
		inFlight:    newInFlight(),
		budgets:     newBudgets(),
		unreachable: newUnreachableReplicas(),
	}
}

// ServeHTTP serves one call.
func (entry *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := entry.nextID()
	w.Header().Set(encoder.RequestHeader, id)
	w.Header().Set("X-Request-Id", correlationID(r, id))
	if r.URL.Path == keysPath {
		entry.serveKeys(w, r, id)
		return
	}
	if request, ok := parseStreamRequest(r); ok {
		if err := entry.serveStream(w, r, id, request); err != nil {
			entry.refuse(w, id, err)
		}
		return
	}
	call, err := entry.classify(w, r, id)
	if err != nil {
		entry.refuse(w, id, err)
		return
	}
	if err := entry.forward(r.Context(), w, call); err != nil {
		entry.refuse(w, id, entry.checkKeyClaim(r.Context(), call, err))
	}
}

// nextID returns an id that is unique in the fleet: the entry's name, its
// incarnation and a serial number.
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

// correlationID returns the caller's X-Request-Id if it is short and printable,
// else id.
func correlationID(r *http.Request, id string) string {
	const maxLength = 128
	given := r.Header.Get("X-Request-Id")
	if given == "" || len(given) > maxLength || !printable(given) {
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
