package recorder

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Kind is the type of an event.
type Kind string

// The kinds of event. Stored records hold these names, so a name never changes its meaning.
const (
	// Started is the first event of an incarnation.
	Started Kind = "started"
	// Stopped is the last event of an incarnation that ended as planned.
	Stopped Kind = "stopped"
	// Offered records that an entry offered a call to a replica.
	Offered Kind = "offered"
	// Granted records that an agent granted a slot. Load is the load with this call,
	// Bound the limit.
	Granted Kind = "granted"
	// Refused records that a process reported a call as refused to an entry or caller.
	Refused Kind = "refused"
	// Committed records that an agent received a Run frame; from then on the call may run.
	Committed Kind = "committed"
	// Ended records how a run ended at the agent.
	Ended Kind = "ended"
	// Answered records the outcome that an entry reported to the caller.
	Answered Kind = "answered"
	// Buried records that an agent set a tombstone for a request.
	Buried Kind = "buried"
	// Claimed records that a key was bound to a request.
	Claimed Kind = "claimed"
	// Draining records that a replica or process began to leave.
	Draining Kind = "draining"
	// Drained records that a leaving replica or process has nothing left in flight.
	Drained Kind = "drained"
	// InForce records that a revision of the configuration came into force.
	InForce Kind = "in-force"
	// Accepted records that an operator's change was accepted.
	Accepted Kind = "accepted"
	// Sampled records a replica's load and the bound that its service's mean load
	// sets. It is an agent's heartbeat.
	Sampled Kind = "sampled"
	// Struck records that a request was in flight when an upstream crashed.
	Struck Kind = "struck"
	// Ordered records that an order was sent to an engine.
	Ordered Kind = "ordered"
	// Gap records that events were lost before they could be stored.
	Gap Kind = "gap"
	// Alive records that the process is running and that everything that happened
	// before is recorded. It is the heartbeat of every process that is not an agent.
	Alive Kind = "alive"
)

// Values of Event.Detail that the verifier evaluates.
const (
	// Replayed marks an answer that was stored by an earlier run of the key.
	Replayed = "replayed"
	// Resumed marks the rest of an answer whose start the caller already has. The
	// event holds the length of the whole answer, and no digest.
	Resumed = "resumed"
	// LostInQueue marks a Gap of events that were dropped because the queue was full.
	LostInQueue = "queue"
	// LostInOutage marks a Gap of segments that were dropped while the store was down.
	LostInOutage = "store"
)

// Event is one event of the record. Fields that don't apply are zero.
type Event struct {
	At          timekeeper.Instant `json:"at"`
	Kind        Kind               `json:"kind"`
	Request     string             `json:"request,omitempty"`
	Service     string             `json:"service,omitempty"`
	Team        string             `json:"team,omitempty"`
	Instance    string             `json:"instance,omitempty"`
	Incarnation uint64             `json:"incarnation,omitempty"`
	// Key is the hash of the caller's Idempotency-Key with team and service.
	Key         uint64 `json:"key,omitempty"`
	Fingerprint uint64 `json:"fingerprint,omitempty"`
	Idempotent  bool   `json:"idempotent,omitempty"`
	// Reason is the name of an error kind.
	Reason string `json:"reason,omitempty"`
	// Ran is what was reported to the entry or caller: "no", "unknown" or "yes".
	Ran      string `json:"ran,omitempty"`
	Complete bool   `json:"complete,omitempty"`
	Length   uint64 `json:"length,omitempty"`
	Digest   uint64 `json:"digest,omitempty"`
	Load     int64  `json:"load,omitempty"`
	Bound    int64  `json:"bound,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Detail is a short word or hash, never contents of a call.
	Detail string `json:"detail,omitempty"`
	// Count is a number of events or calls, depending on Kind.
	Count int64 `json:"count,omitempty"`
	// Work is the estimated work of the event's call.
	Work int64 `json:"work,omitempty"`
	// Factor is the multiple of the service's mean load that a replica may reach.
	Factor float64 `json:"factor,omitempty"`
	// Taken is when the agent accepted an offer that waited in the queue for its slot.
	Taken timekeeper.Instant `json:"taken,omitempty"`
	// First and Last are the range of sequence numbers that a Gap covers; zero when the
	// lost events had no numbers yet.
	First uint64 `json:"first,omitempty"`
	Last  uint64 `json:"last,omitempty"`
}

// Discard is a Record function that discards every event.
func Discard(Event) {}

// KeyHash returns the hash that stands for a caller's Idempotency-Key in the
// record, or zero when there is no key. It covers team and service, since equal
// keys of two teams are two keys.
func KeyHash(team, service, key string) uint64 {
	if key == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(team+"\x00"+service+"\x00"+key))
}
