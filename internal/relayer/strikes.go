package relayer

import (
	"net/http"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// mostStrikes is how many replicas a request may have crashed before it is
	// held back. Innocent requests that were at a replica when it crashed have
	// one, and lose it when they are answered.
	mostStrikes = 2
	// strikeLife is how long a request is held back: the time in which callers
	// send it again.
	strikeLife = timekeeper.Minute
	// strikeRoom bounds the requests that are remembered.
	strikeRoom = 4096
)

// strikes remembers which requests were at replicas that crashed.
type strikes struct {
	mu    sync.Mutex
	known map[uint64]strike
}

type strike struct {
	replicas []string
	at       timekeeper.Instant
}

func newStrikes() *strikes {
	return &strikes{known: map[uint64]strike{}}
}

// fingerprint identifies a request that its caller sends again.
func fingerprint(r *http.Request, team string, body []byte) uint64 {
	digest := xxhash.New()
	for _, text := range []string{r.Method, r.Host, r.RequestURI, team} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// add notes that a replica crashed while it had the request, and reports whether
// that is news.
func (strikes *strikes) add(request uint64, replica string, now timekeeper.Instant) bool {
	strikes.mu.Lock()
	defer strikes.mu.Unlock()
	if len(strikes.known) >= strikeRoom {
		strikes.forget(now)
	}
	known := strikes.known[request]
	for _, id := range known.replicas {
		if id == replica {
			return false
		}
	}
	strikes.known[request] = strike{replicas: append(known.replicas, replica), at: now}
	return true
}

// forget drops what is old, and everything when nothing is.
func (strikes *strikes) forget(now timekeeper.Instant) {
	for request, known := range strikes.known {
		if now.Since(known.at) > strikeLife {
			delete(strikes.known, request)
		}
	}
	if len(strikes.known) >= strikeRoom {
		clear(strikes.known)
	}
}

// clear forgets a request that a replica answered.
func (strikes *strikes) clear(request uint64) {
	strikes.mu.Lock()
	defer strikes.mu.Unlock()
	delete(strikes.known, request)
}

// barred reports whether a request is held back.
func (strikes *strikes) barred(request uint64, now timekeeper.Instant) bool {
	strikes.mu.Lock()
	defer strikes.mu.Unlock()
	known, found := strikes.known[request]
	return found && len(known.replicas) >= mostStrikes && now.Since(known.at) <= strikeLife
}
