package load

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// request is one call of a workload.
type request struct {
	id     string
	team   string
	weight int
	chat   uint64
	// bodyFingerprint places a call that has no chat.
	bodyFingerprint uint64
	class           uint8
	promptTokens    int64
	outputTokens    int64
	arrived         timekeeper.Instant
	deadline        timekeeper.Span
	// fetchedTokens is the length of the prefix that another replica sent.
	fetchedTokens int64
}
