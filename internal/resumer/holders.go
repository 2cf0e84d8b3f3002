package resumer

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// holderCount is the number of peers that get a record. Two may fail at the moment at which the
// entry that began the stream does.
const holderCount = 3

// holders returns the peers that keep the record of a stream, as seen by an entry that knows some.
func holders(key Key, peers []string) []string {
	ranked := slices.Clone(peers)
	weight := func(peer string) uint64 {
		digest := xxhash.NewWithSeed(uint64(key))
		_, _ = digest.WriteString(peer)
		return digest.Sum64()
	}
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(weight(b), weight(a)) })
	return ranked[:min(len(ranked), holderCount)]
}
