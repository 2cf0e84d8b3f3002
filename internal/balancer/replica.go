package balancer

import (
	"strconv"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Replica is a row of the platform's list: one incarnation of a replica.
type Replica struct {
	// ID identifies the replica, and together with StartedAt its incarnation. A restarted
	// replica may keep its ID.
	ID string
	// StartedAt is when the incarnation started, by the replica's own clock; zero means
	// unknown.
	StartedAt  timekeeper.Instant
	Service    string
	Address    string
	DataCentre string
	// SoftwareVersion is the version of the replica's software; "" means unknown. Streams of two
	// versions can't be joined.
	SoftwareVersion string
	Slots           int
	// Leaving replicas get no new work.
	Leaving bool
	// WarmAt is when the replica's cold period ends, by the clock of the process that reads the
	// row; zero means that the row doesn't say. A row that differs only in WarmAt doesn't count
	// as changed.
	WarmAt timekeeper.Instant
}

// equalsExceptWarmAt reports whether two rows are equal apart from WarmAt.
func (row Replica) equalsExceptWarmAt(other Replica) bool {
	row.WarmAt = other.WarmAt
	return row == other
}

// Incarnation returns a name that is unique to this incarnation.
func (row Replica) Incarnation() string {
	if row.StartedAt == 0 {
		return row.ID
	}
	return row.ID + startSeparator + strconv.FormatInt(int64(row.StartedAt), 10)
}

// startSeparator separates a replica's ID from its start time in an incarnation name.
const startSeparator = "@"

// IDOf returns the ID in the name of an incarnation.
func IDOf(incarnation string) string {
	if at := strings.LastIndex(incarnation, startSeparator); at >= 0 {
		return incarnation[:at]
	}
	return incarnation
}

// Key returns the short hash of the incarnation.
func (row Replica) Key() Key { return KeyOf(row.Incarnation()) }

// succeeds reports whether a row belongs to a later incarnation of the same replica.
func (row Replica) succeeds(other Replica) bool {
	return other.StartedAt != 0 && row.StartedAt > other.StartedAt
}

// precedes reports whether a row belongs to an earlier incarnation of the same replica.
func (row Replica) precedes(other Replica) bool {
	return row.StartedAt < other.StartedAt
}

// withVersionOf returns a row with the software version of an earlier row of the same incarnation
// if it has none: a peer that does not know of versions tells rows without them.
func (row Replica) withVersionOf(earlier Replica) Replica {
	if row.SoftwareVersion == "" && row.StartedAt == earlier.StartedAt {
		row.SoftwareVersion = earlier.SoftwareVersion
	}
	return row
}

// newReplica returns a replica with no state but its row.
func newReplica(row Replica, leaveVersion sequencer.Version) *replica {
	member := &replica{Replica: row, leaveVersion: leaveVersion, key: row.Key(), ownLoad: newOwnLoad()}
	member.markCold(row.WarmAt)
	return member
}

// Priorities is the number of priorities that engines have; zero is served first.
const Priorities = 10

// Part is one part of a prompt. Requests share parts.
type Part struct {
	ID     uint64
	Tokens int
}

// SharedParts returns the parts of a prompt that other requests may share: all but the last,
// which is the request's own.
func SharedParts(parts []Part) []Part {
	return parts[:max(0, len(parts)-1)]
}

// ownLoad is what an entry has in flight at one incarnation of a replica, whether or not it is listed.
type ownLoad struct {
	// running is the number of this entry's requests at the replica.
	running int
	// pendingTokens are the uncached prompt tokens of this entry's requests whose answer has
	// not started, by priority.
	pendingTokens [Priorities]int
	// unanswered are this entry's requests at the replica whose answer has not started.
	unanswered map[*Placement]struct{}
}

func newOwnLoad() *ownLoad { return &ownLoad{unanswered: map[*Placement]struct{}{}} }

// replica is an entry's state for one replica.
type replica struct {
	Replica
	*ownLoad
	cold coldAllowance
	// leaveVersion is the newest version of the list at which a peer saw the replica leave.
	leaveVersion sequencer.Version
	statements   replicaStatements
	// logged is the eligibility that was logged last.
	logged Eligibility
	key    Key
	cache  *prefixCache
	// arrivals are this entry's recent requests to the replica; see ownRate.
	arrivals decaying
	// usedTurn is the last turn in which this entry sent the replica a request; see dropOthersTurns.
	usedTurn timekeeper.Span
	// checked reports whether this entry checks the replica; see StartHealthChecks.
	checked bool
	health  health
	// unreachableAt is when the replica last accepted no connection; zero means never.
	unreachableAt timekeeper.Instant
	excessLatency excessLatency
	// linkFreeAt is when the link has finished the transfers for this entry's requests, and
	// fetchExcess the excess latency of requests that fetch from this replica.
	linkFreeAt  timekeeper.Instant
	fetchExcess excessLatency
	// report is the load that the replica reported at reportedAt; zero means never.
	report           LoadReport
	reportedAt       timekeeper.Instant
	reportedSlowdown slowdown
}

// pendingUpTo returns the pending tokens of this entry's requests that the engine processes
// before, or together with, those of a priority.
func (member *replica) pendingUpTo(priority int) int {
	sum := 0
	for _, tokens := range member.pendingTokens[:priority+1] {
		sum += tokens
	}
	return sum
}

// tokensAhead returns the tokens that an engine processes before those of a new request with a
// priority. For peers only the total is known; it is assumed to be spread over the priorities
// like this entry's tokens.
func (member *replica) tokensAhead(priority, peers int) float64 {
	own, all := member.pendingUpTo(priority), member.pendingUpTo(Priorities-1)
	if all == 0 {
		return float64(peers)
	}
	return float64(own) * (1 + float64(peers)/float64(all))
}

// overdue counts the requests whose answer should have started long ago. It detects a replica
// that accepts requests and never answers, before the deadlines of these requests.
func (member *replica) overdue(now timekeeper.Instant) int {
	count := 0
	for placement := range member.unanswered {
		if placement.isOverdue(now) {
			count++
		}
	}
	return count
}

// overdueSlack is how long after its expected time an answer counts as overdue. It is longer
// than the longest pause that the operators count as on time.
const overdueSlack = 400 * timekeeper.Millisecond

// isOverdue reports whether the answer should have started long ago.
func (placement *Placement) isOverdue(now timekeeper.Instant) bool {
	return now.Since(placement.chosenAt) > placement.Expected+overdueSlack
}

// LoadReport is a replica's own count of running and waiting requests, from all entries
// together.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is how many times as long as usual work takes on the replica's machine: 1 is usual,
	// zero unknown.
	Slowdown float64
}
