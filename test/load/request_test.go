package load

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// request is one call of a workload.
type request struct {
	id     string
	team   string
	weight int
	chat   uint64
	// body is the fingerprint by which a call without a chat is placed.
	body     uint64
	class    uint8
	prompt   int64
	made     int64
	arrived  timekeeper.Instant
	deadline timekeeper.Span
	// fetched is the prefix that came from another replica, in tokens.
	fetched int64
}
