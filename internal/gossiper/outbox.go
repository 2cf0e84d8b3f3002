package gossiper

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// shortest and longest bound the time between two digests. A prompt of 9,200
	// tokens is read in 200 ms, so at the shortest a peer learns of it while it is
	// being read.
	shortest = 80 * timekeeper.Millisecond
	longest  = timekeeper.Second
	// restful is the time between two digests that say the same.
	restful = 300 * timekeeper.Millisecond
	// repeats is how many digests carry a piece of news, so that a lost datagram
	// loses none of it.
	repeats = 2
	// mostPlacements bounds the placements of a digest; some 40 bytes each.
	mostPlacements = 64
	// mostNews bounds the other lists of a digest.
	mostNews = 64
)

// Strike is a request that was at a replica when it crashed.
type Strike struct {
	Request uint64
	Replica string
}

// placement is a prompt that was sent to a replica.
type placement struct {
	replica string
	parts   []balancer.Part
}

// news is a list whose members are told a few times.
type news[T any] struct {
	items []T
	left  []int
	most  int
}

func (news *news[T]) add(item T) {
	if len(news.items) >= news.most {
		news.items, news.left = slices.Delete(news.items, 0, 1), slices.Delete(news.left, 0, 1)
	}
	news.items = append(news.items, item)
	news.left = append(news.left, repeats)
}

// take returns what is to be told now, and forgets what was told often enough.
func (news *news[T]) take() []T {
	told := slices.Clone(news.items)
	items, left := news.items[:0], news.left[:0]
	for i, item := range news.items {
		if news.left[i] > 1 {
			items, left = append(items, item), append(left, news.left[i]-1)
		}
	}
	clear(news.items[len(items):])
	news.items, news.left = items, left
	return told
}

// outbox gathers what the next digest says.
type outbox struct {
	placements  news[placement]
	unreachable news[string]
	leaving     news[string]
	strikes     news[Strike]
}

func newOutbox() *outbox {
	return &outbox{
		placements:  news[placement]{most: mostPlacements},
		unreachable: news[string]{most: mostNews},
		leaving:     news[string]{most: mostNews},
		strikes:     news[Strike]{most: mostNews},
	}
}

func (outbox *outbox) empty() bool {
	return len(outbox.placements.items)+len(outbox.unreachable.items)+
		len(outbox.leaving.items)+len(outbox.strikes.items) == 0
}

// fill moves what there is to tell into a digest.
func (outbox *outbox) fill(digest *encoder.PeerDigest) {
	for _, placed := range outbox.placements.take() {
		message := &encoder.PeerPlacement{Replica: placed.replica}
		for _, part := range placed.parts {
			message.Parts = append(message.Parts, part.ID)
			message.Tokens = append(message.Tokens, uint32(part.Tokens))
		}
		digest.Placements = append(digest.Placements, message)
	}
	digest.Unreachable = outbox.unreachable.take()
	digest.Leaving = outbox.leaving.take()
	for _, strike := range outbox.strikes.take() {
		digest.Strikes = append(digest.Strikes, &encoder.PeerStrike{Request: strike.Request, Replica: strike.Replica})
	}
}

// loadsOf returns what is under way, in a fixed order.
func loadsOf(held map[balancer.Key]balancer.Held) []*encoder.PeerLoad {
	loads := make([]*encoder.PeerLoad, 0, len(held))
	for key, at := range held {
		loads = append(loads, &encoder.PeerLoad{
			Replica: uint32(key), Running: uint32(max(0, at.Running)), Unread: uint32(max(0, at.Unread)),
		})
	}
	slices.SortFunc(loads, func(a, b *encoder.PeerLoad) int { return cmp.Compare(a.Replica, b.Replica) })
	return loads
}

// interval returns the time between two digests of a size to a number of peers
// within a budget of bytes a second.
//
// The load: every entry sends to every other, so the bytes of the fleet grow
// with the square of its size. The harm: at hundreds of entries the digests
// would take the link and the processor that callers need. With the budget the
// cost of an entry stays the same, and what suffers is the age of what it knows.
func interval(size, peers int, budget float64) timekeeper.Span {
	if budget <= 0 {
		return shortest
	}
	span := timekeeper.Span(float64(size*peers) / budget * float64(timekeeper.Second))
	return min(max(span, shortest), longest)
}
