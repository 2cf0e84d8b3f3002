package resumer

import (
	"github.com/cespare/xxhash/v2"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Key identifies a stream by the caller's try that began it.
type Key uint64

// KeyOf returns the key of a stream. It covers all that a resumption has in common with the try
// that began the stream, so that no other team or path can refer to it.
func KeyOf(team, host, path, try string) Key {
	digest := xxhash.New()
	for _, text := range []string{team, host, path, try} {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	return Key(digest.Sum64())
}

// MaxLifetime is the longest time for which a stream can be taken up after it began.
const MaxLifetime = timekeeper.Minute

// HistorySpan is how long a service must have had one version only, so that no other can have begun
// a stream. It is longer than MaxLifetime, as an entry that is cut off may begin streams at replicas
// that the list has no longer.
const HistorySpan = 2 * timekeeper.Minute

// Record says where a stream began.
type Record struct {
	Key    Key
	Origin balancer.Origin
	// Lifetime is how much longer the caller may come back, at most MaxLifetime.
	Lifetime timekeeper.Span
}

// Question asks a peer where a stream began.
type Question struct {
	Key Key
	// Service is the only service that can have begun it, or "".
	Service string
}

// Answer is a peer's answer to a question. Either Known is set, or Versions tells what the peer has
// seen of the service of the question.
type Answer struct {
	Key      Key
	Known    bool
	Origin   balancer.Origin
	Versions Versions
}

// Versions is what an entry has seen of the software versions of a service's replicas. The zero
// value means that it doesn't know.
type Versions struct {
	// Several reports that replicas of more than one version, or of one that isn't known, are
	// listed.
	Several bool
	// Only is otherwise the version, and For how long no other one has been listed, at most
	// HistorySpan.
	Only string
	For  timekeeper.Span
}

// contradicts reports whether an entry has seen another version than the only one of this entry.
func (versions Versions) contradicts(own Versions) bool {
	return versions.Several || versions.Only != "" && versions.Only != own.Only
}

// Message holds what one entry sends to another.
type Message struct {
	Records   []Record
	Questions []Question
	Answers   []Answer
}
