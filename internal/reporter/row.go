package reporter

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Row is what is believed about one replica.
type Row struct {
	Name    string
	Site    string
	Address string
	// Incarnation orders the lives of one name: a later start has a higher
	// number. Zero means that only the instance list has named the replica.
	Incarnation uint64
	State       encoder.ReplicaState
	Load        int64
	Running     uint32
	Waiting     uint32
	Capacity    int64
	Revision    uint64
	Sequence    uint64
	Strikes     []*encoder.Strike
	// Adapters are the adapters that the engine holds.
	Adapters []string
	// ReportedAt is when the replica's agent said this, by the clock of this process.
	ReportedAt timekeeper.Instant
	// Leaving says that the instance list marks the replica as leaving.
	Leaving bool
	// Listed says that the newest instance list names the replica.
	Listed bool

	listAddress string
	fails       int
	failed      timekeeper.Instant
	returns     int
	returned    timekeeper.Instant
	news        timekeeper.Instant
	changed     uint64
	newsAt      uint64
	dead        bool
	announced   string
	sent        int
	newsSent    int
	sentAt      timekeeper.Instant
	rank        int
}

// WithDigest returns the row with what a digest says, at a time by this clock.
func (row Row) WithDigest(digest *encoder.Digest, said timekeeper.Instant) Row {
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
	row.ReportedAt = said
	row.sent = 0
	if digest.GetSite() != "" {
		row.Site = digest.GetSite()
	}
	if digest.GetAddress() != "" {
		row.Address = digest.GetAddress()
	}
	return row
}

// DialAddress returns the address to dial: the list's, for it knows how the replica
// is reached from outside, else the one that the agent gave.
func (row Row) DialAddress() string {
	if row.listAddress != "" {
		return row.listAddress
	}
	return row.Address
}

// leaving reports whether the replica itself or the list says that it leaves.
func (row Row) leaving() bool {
	return row.Leaving || row.State == encoder.ReplicaState_REPLICA_STATE_DRAINING
}

// gone reports whether the replica, or an agent that watched it, called it dead.
func (row Row) gone() bool {
	return row.State == encoder.ReplicaState_REPLICA_STATE_GONE || row.State == encoder.ReplicaState_REPLICA_STATE_DOWN
}

// digest returns the row as it is told to others.
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

// id names a replica and incarnation in a load row.
func id(name string, incarnation uint64) uint32 {
	var tail [8]byte
	binary.BigEndian.PutUint64(tail[:], incarnation)
	return uint32(xxhash.Sum64String(name + string(tail[:])))
}
