package gossiper

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ReplicaList is a copy of the platform's list of replicas at a version of the store.
type ReplicaList struct {
	Version  sequencer.Version
	Replicas []balancer.Replica
	// LapsesIn is how much longer the peer keeps rows that the store lacks since an outage.
	LapsesIn map[string]timekeeper.Span
}

// Encode encodes the list as an answer to a peer.
func (list ReplicaList) Encode(now timekeeper.Instant) ([]byte, error) {
	message := &encoder.ReplicaList{Era: list.Version.Era, Version: list.Version.Number}
	for _, replica := range list.Replicas {
		row := encodeRow(replica, now)
		row.LapsesInMs = uint32(list.LapsesIn[replica.ID])
		message.Replicas = append(message.Replicas, row)
	}
	text, err := proto.Marshal(message)
	return text, eris.Wrap(err, "list of replicas")
}

// DecodeReplicas decodes a peer's list. A list without a version, or with a replica that
// has no ID or address, is an error.
func DecodeReplicas(text []byte, now timekeeper.Instant) (ReplicaList, error) {
	message := &encoder.ReplicaList{}
	if err := proto.Unmarshal(text, message); err != nil {
		return ReplicaList{}, eris.Wrap(err, "list of replicas")
	}
	if message.Version == 0 {
		return ReplicaList{}, eris.New("list of replicas has no version")
	}
	list := ReplicaList{Version: versionOf(message.Era, message.Version), LapsesIn: map[string]timekeeper.Span{}}
	for _, row := range message.Replicas {
		if row.Id == "" || row.Address == "" {
			return ReplicaList{}, eris.New("list of replicas: a replica has no ID or address")
		}
		list.Replicas = append(list.Replicas, decodeRow(row, now))
		if row.LapsesInMs > 0 {
			list.LapsesIn[row.Id] = timekeeper.Span(row.LapsesInMs)
		}
	}
	return list, nil
}

func encodeRow(replica balancer.Replica, now timekeeper.Instant) *encoder.ReplicaRow {
	return &encoder.ReplicaRow{
		WarmInMs: uint32(max(0, replica.WarmAt.Since(now))),
		Id:       replica.ID, BornMs: int64(replica.StartedAt), Service: replica.Service, Address: replica.Address,
		DataCentre: replica.DataCentre, Slots: uint32(max(0, replica.Slots)), Leaving: replica.Leaving,
		SoftwareVersion: replica.SoftwareVersion,
	}
}

func decodeRow(row *encoder.ReplicaRow, now timekeeper.Instant) balancer.Replica {
	replica := balancer.Replica{
		ID: row.Id, StartedAt: timekeeper.Instant(row.BornMs), Service: row.Service, Address: row.Address,
		DataCentre: row.DataCentre, Slots: int(row.Slots), Leaving: row.Leaving, SoftwareVersion: row.SoftwareVersion,
	}
	if row.WarmInMs > 0 {
		replica.WarmAt = now.Add(timekeeper.Span(row.WarmInMs))
	}
	return replica
}

// ReplicaChecksum returns the checksum of a row of the list. It covers all fields but
// WarmAt, the end of the warm-up, which differs by reader and with each heartbeat, and
// SoftwareVersion, which an incarnation keeps and some senders leave out.
func ReplicaChecksum(id string, replica balancer.Replica) uint64 {
	text := fmt.Sprintf("%q %d %q %q %q %d %t", id, replica.StartedAt, replica.Service, replica.Address,
		replica.DataCentre, replica.Slots, replica.Leaving)
	return xxhash.Sum64String(text)
}

// encodeUpdate encodes an update of the list, decodeUpdate decodes one. decodeUpdate leaves
// out rows without ID or address, which name no replica.
func encodeUpdate(update ReplicaUpdate, now timekeeper.Instant) *encoder.PeerListed {
	message := &encoder.PeerListed{Era: update.Version.Era, Version: update.Version.Number}
	for _, change := range update.Changes {
		if change.Removed {
			message.Gone = append(message.Gone, change.Key)
			continue
		}
		message.Rows = append(message.Rows, encodeRow(change.Value, now))
	}
	return message
}

func decodeUpdate(message *encoder.PeerListed, firstEra uint64, now timekeeper.Instant) ReplicaUpdate {
	update := ReplicaUpdate{Version: versionOf(message.Era, message.Version).InEra(firstEra)}
	for _, row := range message.Rows {
		if row.Id == "" || row.Address == "" {
			continue
		}
		update.Changes = append(update.Changes, follower.Change[balancer.Replica]{Key: row.Id, Value: decodeRow(row, now)})
	}
	for _, id := range message.Gone {
		update.Changes = append(update.Changes, follower.Change[balancer.Replica]{Key: id, Removed: true})
	}
	return update
}
