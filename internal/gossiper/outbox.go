package gossiper

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

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
	// mostPlacements bounds the placements of a digest; some 30 bytes each.
	mostPlacements = 64
	// paced is the time between two digests that reminders may not lengthen.
	paced = 200 * timekeeper.Millisecond
	// mostNews bounds the other lists of a digest.
	mostNews = 64
	// mostListed bounds the readings of the list of replicas whose changes a digest
	// tells; some 60 bytes a replica.
	mostListed = 4
)

// Strike is a request that was at a replica when it crashed.
type Strike struct {
	Request uint64
	Replica string
}

// Leave is a replica that the store listed as leaving, or no more, at a version.
type Leave struct {
	Replica string
	Version uint64
}

// ColdNotice is a replica that is cold until an instant, by the own clock.
type ColdNotice struct {
	Replica balancer.Key
	Until   timekeeper.Instant
}

func (notice ColdNotice) message(now timekeeper.Instant) *encoder.PeerCold {
	return &encoder.PeerCold{Replica: uint32(notice.Replica), WarmInMs: uint32(max(0, notice.Until.Since(now)))}
}

// placement is a prompt that was sent to a replica.
type placement struct {
	replica balancer.Key
	parts   []balancer.Part
}

func (placement placement) message() *encoder.PeerPlacement {
	message := &encoder.PeerPlacement{Replica: uint32(placement.replica)}
	for _, part := range placement.parts {
		message.Parts = append(message.Parts, part.ID)
		message.Tokens = append(message.Tokens, uint32(part.Tokens))
	}
	return message
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
	due := slices.Clone(news.items)
	items, left := news.items[:0], news.left[:0]
	for i, item := range news.items {
		if news.left[i] > 1 {
			items, left = append(items, item), append(left, news.left[i]-1)
		}
	}
	clear(news.items[len(items):])
	news.items, news.left = items, left
	return due
}

// outbox gathers what the next digest says. Only a prompt that a replica is about to read
// for the first time is news; told of all, digests would be ten times as long and come as
// much more seldom. The others are reminders, for entries that have started since: told
// where there is room.
type outbox struct {
	placements  news[placement]
	reminders   []placement
	unreachable news[string]
	leaves      news[Leave]
	announced   news[string]
	strikes     news[Strike]
	listed      news[ReplicaUpdate]
	cold        news[ColdNotice]
}

func newOutbox() *outbox {
	return &outbox{
		placements:  news[placement]{most: mostPlacements},
		unreachable: news[string]{most: mostNews},
		leaves:      news[Leave]{most: mostNews},
		announced:   news[string]{most: mostNews},
		strikes:     news[Strike]{most: mostNews},
		listed:      news[ReplicaUpdate]{most: mostListed},
		cold:        news[ColdNotice]{most: mostNews},
	}
}

// empty reports whether there is no news. Reminders wait for a digest that has
// something to say.
func (outbox *outbox) empty() bool {
	return len(outbox.placements.items)+len(outbox.unreachable.items)+
		len(outbox.leaves.items)+len(outbox.announced.items)+len(outbox.strikes.items)+len(outbox.listed.items)+len(outbox.cold.items) == 0
}

// remind notes a placement that peers may have heard of. The oldest is dropped.
func (outbox *outbox) remind(placed placement) {
	if len(outbox.reminders) >= mostPlacements {
		outbox.reminders = slices.Delete(outbox.reminders, 0, 1)
	}
	outbox.reminders = append(outbox.reminders, placed)
}

// fill moves what there is to tell at an instant into a digest, reminders up to a size in
// bytes.
func (outbox *outbox) fill(digest *encoder.PeerDigest, room int, now timekeeper.Instant) {
	for _, placed := range outbox.placements.take() {
		digest.Placements = append(digest.Placements, placed.message())
	}
	digest.Unreachable = outbox.unreachable.take()
	for _, leave := range outbox.leaves.take() {
		digest.Leaves = append(digest.Leaves, &encoder.PeerLeave{Replica: leave.Replica, Version: leave.Version})
	}
	digest.LeaveAnnounced = outbox.announced.take()
	for _, strike := range outbox.strikes.take() {
		digest.Strikes = append(digest.Strikes, &encoder.PeerStrike{Request: strike.Request, Replica: strike.Replica})
	}
	for _, listed := range outbox.listed.take() {
		digest.Listed = append(digest.Listed, messageOf(listed, now))
	}
	for _, notice := range outbox.cold.take() {
		digest.Cold = append(digest.Cold, notice.message(now))
	}
	outbox.fillReminders(digest, room-proto.Size(digest))
}

// placementFrame is what a placement takes in a digest beside its own bytes.
const placementFrame = 3

// fillReminders adds reminders up to a size in bytes, the newest first.
func (outbox *outbox) fillReminders(digest *encoder.PeerDigest, room int) {
	for len(outbox.reminders) > 0 {
		last := len(outbox.reminders) - 1
		message := outbox.reminders[last].message()
		room -= proto.Size(message) + placementFrame
		if room < 0 {
			return
		}
		digest.Placements = append(digest.Placements, message)
		outbox.reminders = outbox.reminders[:last]
	}
}

// roomOf returns how many bytes a digest may have so that digests stay paced.
func roomOf(peers int, budget float64) int {
	return int(budget * float64(paced) / float64(timekeeper.Second) / float64(max(1, peers)))
}

// fillLoads writes what is under way into a digest, in a fixed order.
func fillLoads(digest *encoder.PeerDigest, held map[balancer.Key]balancer.InFlight) {
	keys := slices.Sorted(maps.Keys(held))
	for _, key := range keys {
		digest.Replicas = append(digest.Replicas, uint32(key))
		digest.Running = append(digest.Running, uint32(max(0, held[key].Running)))
		digest.Unread = append(digest.Unread, uint32(max(0, held[key].PendingTokens)))
	}
}

// interval returns the time between two digests of a size to a number of peers
// within a budget of bytes a second: the cost of an entry stays the same at any number of
// peers, and what suffers is the age of what it knows.
func interval(size, peers int, budget float64) timekeeper.Span {
	if budget <= 0 {
		return shortest
	}
	span := timekeeper.Span(float64(size*peers) / budget * float64(timekeeper.Second))
	return min(max(span, shortest), longest)
}

const (
	// steadyShare is the part of the budget that digests may take all the time; the rest
	// is put by for when they are long.
	steadyShare = 0.8
	// reserved bounds what is put by, in seconds of the budget.
	reserved = 30
	// hastened is the time between two digests while what was put by lasts.
	hastened = 250 * timekeeper.Millisecond
	// leastRounds is for how many digests what is put by must last to be spent: among
	// hundreds of peers it would be gone at once.
	leastRounds = 10
)

// reserve is what has been put by of the budget, in bytes, for long digests: they come when
// many prompts are read for the first time, and entries then need them most. The zero value
// is full.
type reserve struct {
	spent float64
	at    timekeeper.Instant
}

// hasten returns the time to the next digest: no more than hastened, if what was put by
// pays for it; cost is that of one round in bytes.
func (reserve *reserve) hasten(
	steady timekeeper.Span, cost int, budget float64, now timekeeper.Instant,
) timekeeper.Span {
	earned := (1 - steadyShare) * budget * float64(now.Since(reserve.at)) / float64(timekeeper.Second)
	reserve.spent, reserve.at = max(0, reserve.spent-earned), now
	if steady <= hastened {
		return steady
	}
	extra := float64(cost) * (1 - float64(hastened)/float64(steady))
	if extra > reserved*budget/leastRounds || reserve.spent+extra > reserved*budget {
		return steady
	}
	reserve.spent += extra
	return hastened
}
