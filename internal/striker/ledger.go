package striker

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// IsolationThreshold is the number of strikes from which a request runs in isolation.
	IsolationThreshold = 1
	// RefusalThreshold is the number of strikes from which a request is refused,
	// and so the number of engines that one poison request may crash. The first
	// crash doesn't distinguish it from the requests in flight with it; the second,
	// in isolation, does.
	RefusalThreshold = 2
	// DefaultLifetime is the time until a strike expires. It is longer than callers
	// keep resending, and short enough that a request struck because of an engine
	// fault is not refused for a day.
	DefaultLifetime = timekeeper.Hour
	// maxStrikes limits the ledger. A crash strikes at most as many requests as the
	// engine has slots, so this allows about a hundred crashes an hour at one agent.
	maxStrikes = 4096
)

// Strike is the record of one request's strikes; Count is their number.
type Strike struct {
	Fingerprint uint64             `json:"fingerprint"`
	Count       int                `json:"count"`
	Expires     timekeeper.Instant `json:"expires"`
	Service     string             `json:"service,omitempty"`
	Team        string             `json:"team,omitempty"`
	// Instances are the instances whose engines crashed while running the request.
	Instances []string `json:"instances,omitempty"`
	// incident is the number of the incident in which this agent last struck the
	// request.
	incident int
	// Saved means that the strike was written to the table. Only then does
	// absence from the table mean that the strike was lifted or cleared elsewhere.
	Saved bool `json:"-"`
}

// WithCrash returns the strike with one more crash, at the instance.
func (strike Strike) WithCrash(instance string, expires timekeeper.Instant) Strike {
	strike.Count++
	strike.Expires = expires
	strike.Instances = append(slices.Clone(strike.Instances), instance)
	strike.Saved = false
	return strike
}

// Flight is a request in flight on an engine.
type Flight struct {
	Request     string
	Fingerprint uint64
	Team        string
	Service     string
	Began       timekeeper.Instant
	// Isolated means that the request runs in isolation and its second strike is
	// already in the table.
	Isolated bool
}

// Ledger tracks the strikes and the requests in flight at one agent.
type Ledger struct {
	name     string
	lifetime timekeeper.Span
	flights  map[string]Flight
	strikes  map[uint64]Strike
	// downSince is the time when the engine last crashed or became unreachable; down
	// means that it has not answered since.
	downSince timekeeper.Instant
	down      bool
	incident  int
}

// NewLedger returns an empty ledger of the named agent. Zero lifetime means DefaultLifetime.
func NewLedger(name string, lifetime timekeeper.Span) *Ledger {
	if lifetime == 0 {
		lifetime = DefaultLifetime
	}
	return &Ledger{name: name, lifetime: lifetime, flights: map[string]Flight{}, strikes: map[uint64]Strike{}}
}

// Begin records that a request is sent to the engine.
func (ledger *Ledger) Begin(flight Flight) {
	ledger.flights[flight.Request] = flight
}

// ConnectionBroke records that the engine closed the connection of a request
// before its answer was complete. If the crash counts against the request, it
// returns the request's strike and true; otherwise the caller must still call Ended.
//
// The first broken connection opens an incident, which lasts until the engine
// answers again. Requests that began during an incident get no strike, since the
// engine had already crashed; otherwise each request that arrives while an engine
// restarts would get one. Copies of a request get one strike per incident, since
// only one engine crashed.
func (ledger *Ledger) ConnectionBroke(request string, now timekeeper.Instant) (Strike, bool) {
	flight, ok := ledger.flights[request]
	if !ok {
		return Strike{}, false
	}
	if !ledger.down {
		ledger.down, ledger.downSince = true, now
		ledger.incident++
	}
	if ledger.downSince.Before(flight.Began) {
		return Strike{}, false
	}
	strike := ledger.Lookup(flight.Fingerprint, now)
	if strike.incident == ledger.incident {
		return Strike{}, false
	}
	delete(ledger.flights, request)
	expires := now.Add(ledger.lifetime)
	// The second strike of an isolated run was written before the run began.
	if !flight.Isolated {
		strike = strike.WithCrash(ledger.name, expires)
	}
	strike.Fingerprint, strike.Team, strike.Service = flight.Fingerprint, flight.Team, flight.Service
	strike.incident = ledger.incident
	ledger.Put(strike)
	return strike, true
}

// MarkUnreachable records that the engine can't be reached, although no connection broke.
func (ledger *Ledger) MarkUnreachable(now timekeeper.Instant) {
	if !ledger.down {
		ledger.down, ledger.downSince = true, now
		ledger.incident++
	}
}

// Ended records that a request ended without a crash, and returns its flight. A
// complete answer shows that the request is harmless and clears its strikes; an
// incomplete isolated run leaves one. The second result reports whether the strikes changed.
func (ledger *Ledger) Ended(request string, complete bool) (Flight, bool) {
	flight := ledger.flights[request]
	delete(ledger.flights, request)
	strike, struck := ledger.strikes[flight.Fingerprint]
	if !struck {
		return flight, false
	}
	if complete {
		delete(ledger.strikes, flight.Fingerprint)
	} else if flight.Isolated {
		strike.Count = IsolationThreshold
		ledger.strikes[flight.Fingerprint] = strike
	}
	return flight, complete || flight.Isolated
}

// Recovered records that the engine answers again.
func (ledger *Ledger) Recovered() {
	ledger.down = false
}

// Down reports whether the engine has not answered since it crashed or became unreachable.
func (ledger *Ledger) Down() bool {
	return ledger.down
}

// Lookup returns the strike of a fingerprint, with a count of zero if there is
// none or it has expired.
func (ledger *Ledger) Lookup(fingerprint uint64, now timekeeper.Instant) Strike {
	strike, ok := ledger.strikes[fingerprint]
	if !ok || !now.Before(strike.Expires) {
		delete(ledger.strikes, fingerprint)
		return Strike{Fingerprint: fingerprint}
	}
	return strike
}

// Put replaces the strike of a fingerprint; a count of zero removes it. Above
// maxStrikes it drops other strikes in no particular order.
func (ledger *Ledger) Put(strike Strike) {
	if strike.Count == 0 {
		delete(ledger.strikes, strike.Fingerprint)
		return
	}
	ledger.strikes[strike.Fingerprint] = strike
	for fingerprint := range ledger.strikes {
		if len(ledger.strikes) <= maxStrikes {
			return
		}
		if fingerprint != strike.Fingerprint {
			delete(ledger.strikes, fingerprint)
		}
	}
}

// Merge returns the strike that applies to an offer. Its count is the maximum of the
// count of the row in the table (if found), the count in the entry's offer and the
// agent's own count, at most RefusalThreshold. A saved own count is ignored, since
// the table is authoritative for it: a lower count or a missing row means that the
// strike was lifted or cleared.
func Merge(own, row Strike, found bool, offered int) Strike {
	strike := own
	if found {
		strike = row
		strike.incident = own.incident
	}
	count := offered
	if found {
		count = max(count, row.Count)
	}
	if !own.Saved {
		count = max(count, own.Count)
	}
	strike.Saved = found && count == row.Count
	strike.Count = min(count, RefusalThreshold)
	return strike
}
