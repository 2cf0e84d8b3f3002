package recorder

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Kind says what an event is about.
type Kind string

// The kinds of event. Records keep their names, so a name never changes its meaning.
const (
	// Started is the first event of an incarnation.
	Started Kind = "started"
	// Stopped is the last event of an incarnation that ended as planned.
	Stopped Kind = "stopped"
	// Offered says that an entry offered a call to a replica.
	Offered Kind = "offered"
	// Granted says that an agent gave a slot; Load and Bound tell what it held.
	Granted Kind = "granted"
	// Refused says that a process told its peer or caller that a call was refused.
	Refused Kind = "refused"
	// Committed says that an agent took a Run frame: from here the call may run.
	Committed Kind = "committed"
	// Ended says how a run ended at the agent.
	Ended Kind = "ended"
	// Answered says what an entry told the caller.
	Answered Kind = "answered"
	// Buried says that an agent left a tombstone.
	Buried Kind = "buried"
	// Claimed says that a key was bound to a request.
	Claimed Kind = "claimed"
	// Draining says that a replica or process began to leave.
	Draining Kind = "draining"
	// Drained says that it had nothing left in flight.
	Drained Kind = "drained"
	// InForce says that a revision of the configuration came into force.
	InForce Kind = "in-force"
	// Accepted says that an operator's change was accepted.
	Accepted Kind = "accepted"
	// Sampled is a sample of a replica's load beside the mean of its service.
	Sampled Kind = "sampled"
	// Struck says that a request was in flight when an upstream crashed.
	Struck Kind = "struck"
	// Ordered says that an order went to an engine.
	Ordered Kind = "ordered"
	// Gap says that events were lost before they could be stored.
	Gap Kind = "gap"
	// Alive says that the process lived and had recorded all that happened before.
	Alive Kind = "alive"
)

// Details that the verifier knows.
const (
	// Replayed marks an answer that was kept from an earlier run of the key.
	Replayed = "replayed"
	// Resumed marks the rest of an answer, sent to a caller that has its start;
	// it carries the whole length, and no digest.
	Resumed = "resumed"
	// LostInQueue marks a Gap of events that found the queue full.
	LostInQueue = "queue"
	// LostInOutage marks a Gap of segments dropped while the store was down.
	LostInOutage = "store"
)

// Event is one entry of the record. Fields that don't apply stay zero.
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
	// Reason is an error kind's name.
	Reason string `json:"reason,omitempty"`
	// Ran is what the peer or caller was told: "no", "unknown" or "yes".
	Ran      string `json:"ran,omitempty"`
	Complete bool   `json:"complete,omitempty"`
	Length   uint64 `json:"length,omitempty"`
	Digest   uint64 `json:"digest,omitempty"`
	Load     int64  `json:"load,omitempty"`
	Bound    int64  `json:"bound,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Detail is a short word or hash, never contents.
	Detail string `json:"detail,omitempty"`
	// Count is a number of events or calls, by the kind's meaning.
	Count int64 `json:"count,omitempty"`
	// Work is the estimated work of the one call that the event is about.
	Work int64 `json:"work,omitempty"`
	// Factor is the multiple of the mean load that the service may reach.
	Factor float64 `json:"factor,omitempty"`
	// Taken is when an offer was taken that got its slot only later, from the queue.
	Taken timekeeper.Instant `json:"taken,omitempty"`
	// First and Last are the sequence numbers that a Gap covers; zero when the
	// lost events had none yet.
	First uint64 `json:"first,omitempty"`
	Last  uint64 `json:"last,omitempty"`
}

// Discard is a Record function that keeps nothing.
func Discard(Event) {}

// KeyHash returns the hash under which a caller's Idempotency-Key stands in the
// record, and zero when there is none. Team and service are part of it, since
// equal keys of two teams are two keys.
func KeyHash(team, service, key string) uint64 {
	if key == "" {
		return 0
	}
	return max(1, xxhash.Sum64String(team+"\x00"+service+"\x00"+key))
}
