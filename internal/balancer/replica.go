package balancer

import (
	"strconv"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Replica is what the platform lists about one incarnation of a replica.
type Replica struct {
	// ID names the replica, and with Born its incarnation: one that starts again may
	// have the ID that it had.
	ID string
	// StartedAt is when it started, by its own time of day; zero means that it didn't say.
	StartedAt  timekeeper.Instant
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Leaving replicas get no new work.
	Leaving bool
	// WarmAt is until when the replica says that it is cold, by the clock of who reads it;
	// zero means that it doesn't. Listings that differ in it alone are the same.
	WarmAt timekeeper.Instant
}

// same reports whether two listings say the same.
func (listing Replica) same(other Replica) bool {
	listing.WarmAt = other.WarmAt
	return listing == other
}

// Incarnation returns a name that no other life of the replica has.
func (listing Replica) Incarnation() string {
	if listing.StartedAt == 0 {
		return listing.ID
	}
	return listing.ID + bornMark + strconv.FormatInt(int64(listing.StartedAt), 10)
}

// bornMark stands between a replica's ID and its start.
const bornMark = "@"

// IDOf returns the ID in the name of an incarnation.
func IDOf(incarnation string) string {
	if at := strings.LastIndex(incarnation, bornMark); at >= 0 {
		return incarnation[:at]
	}
	return incarnation
}

// Key returns the short name of the incarnation.
func (listing Replica) Key() Key { return KeyOf(listing.Incarnation()) }

// succeeds reports whether a listing tells of a later life of the same replica,
// precedes whether of an earlier one.
func (listing Replica) succeeds(known Replica) bool {
	return known.StartedAt != 0 && listing.StartedAt > known.StartedAt
}

func (listing Replica) precedes(known Replica) bool {
	return listing.StartedAt < known.StartedAt
}

// newReplica returns a replica of which nothing is known but its listing.
func newReplica(listing Replica, left uint64) *replica {
	known := &replica{Replica: listing, left: left, key: listing.Key(), awaited: map[*Placement]struct{}{}}
	known.chill(listing.WarmAt)
	return known
}

// Priorities is how many priorities engines know; zero is first.
const Priorities = 10

// Part is one part of a prompt. Requests share parts.
type Part struct {
	ID     uint64
	Tokens int
}

// SharedParts returns the parts of a prompt that other requests may share: all
// but the last, which is the request's own.
func SharedParts(parts []Part) []Part {
	return parts[:max(0, len(parts)-1)]
}

// replica is what a fleet believes of one replica.
type replica struct {
	Replica
	cold allowance
	// left is the newest version of the list at which a peer saw it leave.
	left uint64
	said statements
	// shown is the eligibility that was logged last.
	shown Eligibility
	key   Key
	cache *prefixCache
	// running counts this entry's requests at the replica.
	running int
	// unread are tokens of this entry's requests whose first event is due, by the
	// priority that the engine reads them in.
	unread [Priorities]int
	doubt  doubt
	pace   pace
	// linkFree is when the link carries nothing of this entry's requests, and
	// lending how much longer than expected requests take that fetch from here.
	linkFree timekeeper.Instant
	lending  pace
	// awaited are this entry's requests there whose answer has not begun.
	awaited map[*Placement]struct{}
	// report is what the replica said of itself at reported; zero means never.
	report   LoadReport
	reported timekeeper.Instant
}

// unreadBefore returns the tokens of this entry's requests that the engine reads
// before, or together with, those of a priority.
func (known *replica) unreadBefore(priority int) int {
	sum := 0
	for _, tokens := range known.unread[:priority+1] {
		sum += tokens
	}
	return sum
}

// waitingFor returns the tokens that an engine reads before those of a new
// request of a priority. Of the peers' only the sum is known: they are taken to
// be spread over the priorities as this entry's are.
func (known *replica) waitingFor(priority, peers int) float64 {
	own, all := known.unreadBefore(priority), known.unreadBefore(Priorities-1)
	if all == 0 {
		return float64(peers)
	}
	return float64(own) * (1 + float64(peers)/float64(all))
}

// overdue counts the requests whose answer should have begun long ago. A replica that takes
// requests and never answers is known by them before their deadlines.
func (known *replica) overdue(now timekeeper.Instant) int {
	count := 0
	for placement := range known.awaited {
		if placement.late(now) {
			count++
		}
	}
	return count
}

// overdueSlack is how long after its expected time an answer counts as overdue:
// longer than the longest pause that the operators call on time.
const overdueSlack = 400 * timekeeper.Millisecond

// late reports whether the answer should have begun long ago.
func (placement *Placement) late(now timekeeper.Instant) bool {
	return now.Since(placement.at) > placement.Expected+overdueSlack
}

// LoadReport is what a replica says of itself: the requests that run and wait
// there, those of all entries together.
type LoadReport struct {
	Running, Waiting, Slots int
}
