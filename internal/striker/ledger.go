package striker

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// IsolationThreshold is the number of strikes from which a request runs alone.
	IsolationThreshold = 1
	// RefusalThreshold is the number of strikes from which a request is refused. It is
	// the number of engines that one bad request may cost: the first crash
	// can't tell it from what ran beside it, the second can.
	RefusalThreshold = 2
	// DefaultLifetime is how long a strike counts. It is longer than callers keep
	// resending, and short enough that a request that was struck by an
	// engine's own fault is not refused for a day.
	DefaultLifetime = timekeeper.Hour
	// mostStrikes bounds the ledger: a crash strikes at most the engine's
	// slots, so this is some hundred crashes within an hour at one agent.
	mostStrikes = 4096
)

// Strike is what is known of one request.
type Strike struct {
	Fingerprint uint64             `json:"fingerprint"`
	Count       int                `json:"count"`
	Expires     timekeeper.Instant `json:"expires"`
	Service     string             `json:"service,omitempty"`
	Team        string             `json:"team,omitempty"`
	// Instances are where engines crashed while they ran the request.
	Instances []string `json:"instances,omitempty"`
	// incident is the crash that the agent struck it for last.
	incident int
	// Saved says that the table has the strike; only then does its absence
	// from the table mean that it was lifted or cleared elsewhere.
	Saved bool `json:"-"`
}

// WithCrash returns the strike with one more crash at the instance.
func (strike Strike) WithCrash(instance string, expires timekeeper.Instant) Strike {
	strike.Count++
	strike.Expires = expires
	strike.Instances = append(slices.Clone(strike.Instances), instance)
	strike.Saved = false
	return strike
}

// Flight is a request that an engine runs.
type Flight struct {
	Request     string
	Fingerprint uint64
	Team        string
	Service     string
	Began       timekeeper.Instant
	// Isolated says that it runs in isolation, with its second strike written.
	Isolated bool
}

// Ledger is what one agent knows about strikes and about what is in flight.
type Ledger struct {
	name    string
	life    timekeeper.Span
	flights map[string]Flight
	strikes map[uint64]Strike
	// crashed is when the engine crashed last; down says it is not back yet.
	crashed  timekeeper.Instant
	down     bool
	incident int
}

// NewLedger returns an empty ledger of the named agent. Zero life means DefaultLife.
func NewLedger(name string, life timekeeper.Span) *Ledger {
	if life == 0 {
		life = DefaultLifetime
	}
	return &Ledger{name: name, life: life, flights: map[string]Flight{}, strikes: map[uint64]Strike{}}
}

// Begin notes that a request goes to the engine.
func (ledger *Ledger) Begin(flight Flight) {
	ledger.flights[flight.Request] = flight
}

// ConnectionBroke notes that the engine broke the connection of a request before its
// answer was whole. It returns the strike, and true when it is new; otherwise
// the request has yet to be noted as Ended.
//
// The first break opens an incident, which lasts until the engine answers
// again. What began after that met an engine that was gone and did it no harm:
// without that rule every request that comes while an engine restarts would be
// struck. Copies of one request in one incident are struck once, since they
// cost one engine.
func (ledger *Ledger) ConnectionBroke(request string, now timekeeper.Instant) (Strike, bool) {
	flight, ok := ledger.flights[request]
	if !ok {
		return Strike{}, false
	}
	if !ledger.down {
		ledger.down, ledger.crashed = true, now
		ledger.incident++
	}
	if ledger.crashed.Before(flight.Began) {
		return Strike{}, false
	}
	known := ledger.Lookup(flight.Fingerprint, now)
	if known.incident == ledger.incident {
		return Strike{}, false
	}
	delete(ledger.flights, request)
	expires := now.Add(ledger.life)
	// The second strike of an isolated run was written before it began.
	if !flight.Isolated {
		known = known.WithCrash(ledger.name, expires)
	}
	known.Fingerprint, known.Team, known.Service = flight.Fingerprint, flight.Team, flight.Service
	known.incident = ledger.incident
	ledger.Put(known)
	return known, true
}

// MarkUnreachable notes that the engine can't be reached, without a crash that was seen.
func (ledger *Ledger) MarkUnreachable(now timekeeper.Instant) {
	if !ledger.down {
		ledger.down, ledger.crashed = true, now
		ledger.incident++
	}
}

// Ended notes that a request ended without a crash, and returns its flight. A
// request that ran whole is innocent, so its strikes are forgotten; the second
// result says that there were some.
func (ledger *Ledger) Ended(request string, whole bool) (Flight, bool) {
	flight := ledger.flights[request]
	delete(ledger.flights, request)
	known, struck := ledger.strikes[flight.Fingerprint]
	if !struck {
		return flight, false
	}
	if whole {
		delete(ledger.strikes, flight.Fingerprint)
	} else if flight.Isolated {
		known.Count = IsolationThreshold
		ledger.strikes[flight.Fingerprint] = known
	}
	return flight, whole || flight.Isolated
}

// Recovered notes that the engine answers again.
func (ledger *Ledger) Recovered() {
	ledger.down = false
}

// Down reports whether the engine has crashed and not answered since.
func (ledger *Ledger) Down() bool {
	return ledger.down
}

// Lookup returns what is known of a fingerprint; a strike past its expiry is none.
func (ledger *Ledger) Lookup(fingerprint uint64, now timekeeper.Instant) Strike {
	known, ok := ledger.strikes[fingerprint]
	if !ok || !now.Before(known.Expires) {
		delete(ledger.strikes, fingerprint)
		return Strike{Fingerprint: fingerprint}
	}
	return known
}

// Put stores what was learned of a fingerprint; a count of zero forgets it.
func (ledger *Ledger) Put(strike Strike) {
	if strike.Count == 0 {
		delete(ledger.strikes, strike.Fingerprint)
		return
	}
	ledger.strikes[strike.Fingerprint] = strike
	for fingerprint := range ledger.strikes {
		if len(ledger.strikes) <= mostStrikes {
			return
		}
		if fingerprint != strike.Fingerprint {
			delete(ledger.strikes, fingerprint)
		}
	}
}

// Merge merges what the agent knows, what the table says and what the entry
// heard into the strike that counts for an offer. The table decides where it
// has been told; a strike that it may not have yet counts beside it.
func Merge(own, row Strike, found bool, heard int) Strike {
	strike := own
	if found {
		strike = row
		strike.incident = own.incident
	}
	count := heard
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
