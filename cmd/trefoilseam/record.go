package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// proposeAndRecord submits a proposal and writes the accepted change to the fleet's
// audit record. Without this record, an audit would find revisions in force that were
// never accepted.
func proposeAndRecord(
	ctx context.Context, platform storekeeper.Platform, proposal publisher.Proposal,
) (publisher.Result, error) {
	log, err := newLog("warn")
	if err != nil {
		return publisher.Result{}, err
	}
	var bytes [8]byte
	_, _ = rand.Read(bytes[:])
	record, closeRecord := recorder.New(recorder.Settings{
		Origin: recorder.Origin{
			Group:       recorder.OperatorGroup,
			Name:        "config-apply",
			Incarnation: binary.BigEndian.Uint64(bytes[:])>>1 | 1,
		},
		Objects: platform.Objects,
		Clock:   timekeeper.Wall(),
		Log:     log,
	}, recorder.Event{Detail: proposal.Operator})
	defer closeRecord()
	proposer := publisher.Proposer{Platform: platform, Clock: timekeeper.Wall(), Record: record.Record}
	return proposer.Propose(ctx, proposal)
}
