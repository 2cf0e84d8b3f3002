package claimer

import (
	"slices"
	"sync"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// maxWitnessed limits the claims that a Witness remembers, at some 300 bytes each.
const maxWitnessed = 4096

// Witness remembers claims of agents under which this process has sent a request of late. If the
// store loses them and their owner is gone, nobody else can write them again. It is safe for
// concurrent use.
type Witness struct {
	now func() timekeeper.Instant

	mu sync.Mutex
	// claims are in the order in which they were added or restored.
	claims []witnessed
}

type witnessed struct {
	row Row
	at  timekeeper.Instant
}

// NewWitness returns a witness that knows no claims.
func NewWitness(now func() timekeeper.Instant) *Witness { return &Witness{now: now} }

// Add records that a request is about to be sent to the owner of a claim. It must be called
// before the request is sent. Above maxWitnessed claims the oldest is forgotten.
func (witness *Witness) Add(key string, owner Owner, fingerprint uint64) {
	now := witness.now()
	witness.mu.Lock()
	defer witness.mu.Unlock()
	witness.claims = witness.claims[max(0, len(witness.claims)+1-maxWitnessed):]
	witness.claims = append(witness.claims, witnessed{
		row: Row{Key: key, Owner: owner, Fingerprint: fingerprint, Expires: now.Add(defaultLifetime)}, at: now,
	})
}

// RecentClaims returns the claims under which a request was sent at or after an instant.
func (witness *Witness) RecentClaims(since timekeeper.Instant) []Row {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	var rows []Row
	for _, claim := range witness.claims {
		if claim.at >= since {
			rows = append(rows, claim.row)
		}
	}
	return rows
}

// Restored applies the result of writing a row of RecentClaims again: the store may lose that
// write too, and other processes know of a row that names another owner.
func (witness *Witness) Restored(row Row, result Result) {
	if result.Outcome != Won && result.Outcome != Lost {
		return
	}
	witness.mu.Lock()
	defer witness.mu.Unlock()
	witness.claims = slices.DeleteFunc(witness.claims, func(claim witnessed) bool { return claim.row.Key == row.Key && claim.row.Owner == row.Owner })
	if result.Outcome == Won {
		witness.claims = append(witness.claims, witnessed{row: row, at: result.At})
	}
}

// HasRecent reports whether there are claims that a copy of the store may lack.
func (witness *Witness) HasRecent() bool {
	since := witness.now().Add(-MaxLoss)
	witness.mu.Lock()
	defer witness.mu.Unlock()
	return len(witness.claims) > 0 && witness.claims[len(witness.claims)-1].at >= since
}
