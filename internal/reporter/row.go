package reporter

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Row is the known state of one replica.
type Row struct {
	Name    string
	Site    string
	Address string
	// Incarnation orders the starts of a replica under one name: a later start has a
	// higher number. Zero means that only the instance list has named the replica.
	Incarnation uint64
	State       encoder.ReplicaState
	Load        int64
	Running     uint32
	Waiting     uint32
	Capacity    int64
	Revision    uint64
	Sequence    uint64
	Strikes     []*encoder.Strike
	// Adapters are the adapters that the engine has loaded.
	Adapters []string
	// ReportedAt is when the replica's agent reported this state, by the clock of this
	// process.
	ReportedAt timekeeper.Instant
	// Leaving is set when the instance list marks the replica as leaving.
	Leaving bool
	// Listed is set when the newest instance list names the replica.
	Listed bool

	listAddress    string
	failures       int
	failedAt       timekeeper.Instant
	returns        int
	returnedAt     timekeeper.Instant
	updatedAt      timekeeper.Instant
	changedVersion uint64
	updatedVersion uint64
	dead           bool
	// lastChangesState is the state at the last call of Changes.
	lastChangesState string
	loadSends        int
	updateSends      int
	loadSentAt       timekeeper.Instant
	rank             int
}

// WithDigest returns the row with the contents of a digest, reported at a time by
// the clock of this process.
func (row Row) WithDigest(digest *encoder.Digest, reportedAt timekeeper.Instant) Row {
	row.Incarnation = digest.GetIncarnation()
	row.State = digest.GetState()
	row.Load = digest.GetLoad()
	row.Running = digest.GetRunning()
	row.Waiting = digest.GetWaiting()
	row.Capacity = digest.GetCapacity()
	row.Revision = digest.GetRevision()
	row.Sequence = digest.GetSequence()
	row.Strikes = digest.GetStrikes()
	row.Adapters = digest.GetLoaded()
	row.ReportedAt = reportedAt
	row.loadSends = 0
	if digest.GetSite() != "" {
		row.Site = digest.GetSite()
	}
	if digest.GetAddress() != "" {
		row.Address = digest.GetAddress()
	}
	return row
}

// DialAddress returns the address to dial: that of the instance list, which is the
// one reachable from outside, else the one that the agent reported.
func (row Row) DialAddress() string {
	if row.listAddress != "" {
		return row.listAddress
	}
	return row.Address
}

// leaving reports whether the replica drains or the list marks it as leaving.
func (row Row) leaving() bool {
	return row.Leaving || row.State == encoder.ReplicaState_REPLICA_STATE_DRAINING
}

// reportedDead reports whether the replica itself or another agent reported it as dead.
func (row Row) reportedDead() bool {
	return row.State == encoder.ReplicaState_REPLICA_STATE_GONE || row.State == encoder.ReplicaState_REPLICA_STATE_DOWN
}

// digest returns the row as a digest for peers.
func (row Row) digest(service string, now timekeeper.Instant) *encoder.Digest {
	state := row.State
	if row.dead && !row.leaving() {
		state = encoder.ReplicaState_REPLICA_STATE_GONE
	}
	return &encoder.Digest{
		Instance: row.Name, Incarnation: row.Incarnation, Service: service, State: state,
		Load: row.Load, Running: row.Running, Waiting: row.Waiting, Capacity: row.Capacity,
		Revision: row.Revision, Sequence: row.Sequence, Strikes: row.Strikes,
		Age: int64(max(0, now.Since(row.ReportedAt))), Address: row.DialAddress(), Site: row.Site,
		Loaded: row.Adapters,
	}
}

// id returns the hash that identifies a replica and incarnation in a load row.
func id(name string, incarnation uint64) uint32 {
	var tail [8]byte
	binary.BigEndian.PutUint64(tail[:], incarnation)
	return uint32(xxhash.Sum64String(name + string(tail[:])))
}
