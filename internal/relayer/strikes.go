package relayer

import (
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// strikeLimit is the number of strikes from which a request is blocked. A harmless
	// request that was in flight at a crashed replica has one, and loses it when it is
	// answered.
	strikeLimit = 2
	// strikeLifetime is how long a request stays blocked: callers retry it for about
	// that time.
	strikeLifetime = timekeeper.Minute
	// maxStruckRequests bounds the number of requests with strikes.
	maxStruckRequests = 4096
)

// strikes records which requests were in flight at replicas that crashed, by their
// fingerprints. A request that crashes replicas is blocked before it crashes the next.
type strikes struct {
	mu    sync.Mutex
	known map[uint64]strike
}

// strike holds the incarnations of replicas that crashed with a request in flight, and the
// instant of the last crash.
type strike struct {
	incarnations []string
	at           timekeeper.Instant
}

func newStrikes() *strikes {
	return &strikes{known: map[uint64]strike{}}
}

// fingerprint returns a hash of a request that is equal for its caller's retries.
func fingerprint(r *http.Request, team string, body []byte) uint64 {
	digest := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.RequestURI, team} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// add records that an incarnation crashed with the request in flight, and reports whether that
// is a change.
func (strikes *strikes) add(request uint64, incarnation string, now timekeeper.Instant) bool {
	strikes.mu.Lock()
	defer strikes.mu.Unlock()
	if len(strikes.known) >= maxStruckRequests {
		strikes.forget(now)
	}
	known := strikes.known[request]
	for _, id := range known.incarnations {
		if id == incarnation {
			return false
		}
	}
	strikes.known[request] = strike{incarnations: append(known.incarnations, incarnation), at: now}
	return true
}

// forget removes expired strikes, and all of them when none has expired.
func (strikes *strikes) forget(now timekeeper.Instant) {
	for request, known := range strikes.known {
		if now.Since(known.at) > strikeLifetime {
			delete(strikes.known, request)
		}
	}
	if len(strikes.known) >= maxStruckRequests {
		clear(strikes.known)
	}
}

// clear removes the strikes of a request that a replica answered.
func (strikes *strikes) clear(request uint64) {
	strikes.mu.Lock()
	defer strikes.mu.Unlock()
	delete(strikes.known, request)
}

// blocked reports whether a request is refused because of its strikes.
func (strikes *strikes) blocked(request uint64, now timekeeper.Instant) bool {
	strikes.mu.Lock()
	defer strikes.mu.Unlock()
	known, found := strikes.known[request]
	return found && len(known.incarnations) >= strikeLimit && now.Since(known.at) <= strikeLifetime
}
