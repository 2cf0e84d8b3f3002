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
	// at is when a request was sent under the claim, and confirmedAt an instant after which the
	// store had the row that this process wrote; zero means that it wrote none.
	at, confirmedAt timekeeper.Instant
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

// RecentClaims returns the claims that the store may have had at or after since, and of which this
// process doesn't know that it had them at or after before.
func (witness *Witness) RecentClaims(since, before timekeeper.Instant) []Row {
	witness.mu.Lock()
	defer witness.mu.Unlock()
	var rows []Row
	for _, claim := range witness.claims {
		if max(claim.at, claim.confirmedAt) >= since && claim.confirmedAt < before {
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
	at := slices.IndexFunc(witness.claims, func(claim witnessed) bool { return claim.row.Key == row.Key && claim.row.Owner == row.Owner })
	if at < 0 {
		return
	}
	restored := witness.claims[at]
	witness.claims = slices.Delete(witness.claims, at, at+1)
	if result.Outcome == Won {
		restored.confirmedAt = result.At
		witness.claims = append(witness.claims, restored)
	}
}

// HasRecent reports whether there are claims that a copy of the store may lack.
func (witness *Witness) HasRecent() bool {
	since := witness.now().Add(-MaxLoss)
	witness.mu.Lock()
	defer witness.mu.Unlock()
	if len(witness.claims) == 0 {
		return false
	}
	last := witness.claims[len(witness.claims)-1]
	return max(last.at, last.confirmedAt) >= since
}
