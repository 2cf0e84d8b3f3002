package gossiper

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// minInterval and maxInterval bound the time between two digests. The prefill of a
	// prompt of 9,200 tokens takes 200 ms, so at the minimum a peer learns of the prompt
	// during its prefill.
	minInterval = 80 * timekeeper.Millisecond
	maxInterval = timekeeper.Second
	// idleInterval is the time between two digests of the same content.
	idleInterval = 300 * timekeeper.Millisecond
	// repeats is how many digests carry an update, so that a lost datagram loses none.
	repeats = 2
	// maxPlacements bounds the placements of a digest, of some 30 bytes each.
	maxPlacements = 64
	// reminderInterval is the longest interval that reminders may cause: they fill a digest
	// only up to the size that the budget allows at this interval.
	reminderInterval = 200 * timekeeper.Millisecond
	// maxUpdates bounds each other list of a digest.
	maxUpdates = 64
	// maxListChanges bounds the updates of the list of replicas in a digest. Each holds the
	// changes that one read found, of some 60 bytes a replica.
	maxListChanges = 4
)

// Strike is a request that was in flight at a replica when it crashed.
type Strike struct {
	Request uint64
	Replica string
}

// Crash is an incarnation of a replica that crashed, with the parts that were in flight there, and those
// at whose trial it crashed, with an ambiguous result.
type Crash struct {
	Incarnation       string
	Parts, TriedParts []uint64
}

// Leave is a replica that the store listed as leaving, or no longer listed, at a version.
type Leave struct {
	Replica string
	Version sequencer.Version
}

// ColdNotice is a replica that is cold until an instant of this entry's clock.
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

// queue holds updates, each of which is sent in as many digests as repeats says. A full
// queue drops its oldest update.
type queue[T any] struct {
	items     []T
	remaining []int
	limit     int
}

func (queue *queue[T]) add(items ...T) {
	for _, item := range items {
		queue.addOne(item)
	}
}

func (queue *queue[T]) addOne(item T) {
	if len(queue.items) >= queue.limit {
		queue.items, queue.remaining = slices.Delete(queue.items, 0, 1), slices.Delete(queue.remaining, 0, 1)
	}
	queue.items = append(queue.items, item)
	queue.remaining = append(queue.remaining, repeats)
}

// take returns the updates for the next digest, and drops those that were sent often
// enough.
func (queue *queue[T]) take() []T {
	due := slices.Clone(queue.items)
	items, remaining := queue.items[:0], queue.remaining[:0]
	for i, item := range queue.items {
		if queue.remaining[i] > 1 {
			items, remaining = append(items, item), append(remaining, queue.remaining[i]-1)
		}
	}
	clear(queue.items[len(items):])
	queue.items, queue.remaining = items, remaining
	return due
}

// noticeLifetime is for how long digests carry a notice of a cold replica. A peer that gets none
// of them has been cut off for so long that it reads the list itself.
const noticeLifetime = 1500 * timekeeper.Millisecond

// recentNotices are the notices of the last noticeLifetime, in order. They cause no digest.
type recentNotices struct {
	notices []ColdNotice
	addedAt []timekeeper.Instant
}

func (recent *recentNotices) add(notice ColdNotice, now timekeeper.Instant) {
	recent.dropOutdated(now)
	if len(recent.notices) < maxUpdates {
		recent.notices, recent.addedAt = append(recent.notices, notice), append(recent.addedAt, now)
	}
}

func (recent *recentNotices) dropOutdated(now timekeeper.Instant) {
	outdated := 0
	for outdated < len(recent.addedAt) && now.Since(recent.addedAt[outdated]) > noticeLifetime {
		outdated++
	}
	recent.notices = slices.Delete(recent.notices, 0, outdated)
	recent.addedAt = slices.Delete(recent.addedAt, 0, outdated)
}

// except returns the notices that are not among others.
func (recent *recentNotices) except(others []ColdNotice, now timekeeper.Instant) []ColdNotice {
	recent.dropOutdated(now)
	return slices.DeleteFunc(slices.Clone(recent.notices), func(notice ColdNotice) bool { return slices.Contains(others, notice) })
}

// outbox holds the content of the next digest. Of the placements, only one that a replica
// prefills for the first time is an update: if all were, digests would be ten times as long
// and as rare. The other placements are reminders, for entries that have started since;
// they fill the remaining space.
type outbox struct {
	placements     queue[placement]
	reminders      []placement
	unreachable    queue[string]
	leaves         queue[Leave]
	leaveAnnounced queue[string]
	strikes        queue[Strike]
	crashes        queue[Crash]
	survived       queue[quarantiner.Feature]
	tried          queue[quarantiner.Feature]
	changes        queue[ReplicaUpdate]
	cold           queue[ColdNotice]
	recentCold     recentNotices
	reservations   queue[reserver.Reservation]

	reservationAllowance reservationAllowance
}

func newOutbox() *outbox {
	return &outbox{
		placements:     queue[placement]{limit: maxPlacements},
		unreachable:    queue[string]{limit: maxUpdates},
		leaves:         queue[Leave]{limit: maxUpdates},
		leaveAnnounced: queue[string]{limit: maxUpdates},
		strikes:        queue[Strike]{limit: maxUpdates},
		crashes:        queue[Crash]{limit: maxUpdates},
		survived:       queue[quarantiner.Feature]{limit: maxUpdates},
		tried:          queue[quarantiner.Feature]{limit: maxUpdates},
		changes:        queue[ReplicaUpdate]{limit: maxListChanges},
		cold:           queue[ColdNotice]{limit: maxUpdates},
		reservations:   queue[reserver.Reservation]{limit: maxReservations},
	}
}

// empty reports whether there are no updates. Reminders alone trigger no digest.
func (outbox *outbox) empty() bool {
	return len(outbox.placements.items)+len(outbox.unreachable.items)+
		len(outbox.leaves.items)+len(outbox.leaveAnnounced.items)+len(outbox.strikes.items)+len(outbox.changes.items)+len(outbox.cold.items)+
		len(outbox.crashes.items)+len(outbox.survived.items)+len(outbox.tried.items)+
		len(outbox.reservations.items) == 0
}

// addReminder adds a placement that peers may know already. If the list is full, the oldest
// is dropped.
func (outbox *outbox) addReminder(placed placement) {
	if len(outbox.reminders) >= maxPlacements {
		outbox.reminders = slices.Delete(outbox.reminders, 0, 1)
	}
	outbox.reminders = append(outbox.reminders, placed)
}

// fill moves the updates into a digest, and as many reminders as fit into a size in bytes.
func (outbox *outbox) fill(digest *encoder.PeerDigest, room int, now timekeeper.Instant) {
	for _, placed := range outbox.placements.take() {
		digest.Placements = append(digest.Placements, placed.message())
	}
	digest.Unreachable = outbox.unreachable.take()
	for _, leave := range outbox.leaves.take() {
		digest.Leaves = append(digest.Leaves, &encoder.PeerLeave{
			Replica: leave.Replica, Era: leave.Version.Era, Version: leave.Version.Number,
		})
	}
	digest.LeaveAnnounced = outbox.leaveAnnounced.take()
	for _, strike := range outbox.strikes.take() {
		digest.Strikes = append(digest.Strikes, &encoder.PeerStrike{Request: strike.Request, Replica: strike.Replica})
	}
	for _, crash := range outbox.crashes.take() {
		digest.Crashes = append(digest.Crashes, &encoder.PeerCrash{
			Incarnation: crash.Incarnation, Parts: crash.Parts, TriedParts: crash.TriedParts,
		})
	}
	survived, tried := outbox.survived.take(), outbox.tried.take()
	digest.SurvivedParts, digest.SurvivedRequests = idsOf(quarantiner.Part, survived), idsOf(quarantiner.Request, survived)
	digest.TriedParts, digest.TriedRequests = idsOf(quarantiner.Part, tried), idsOf(quarantiner.Request, tried)
	for _, changes := range outbox.changes.take() {
		digest.Listed = append(digest.Listed, encodeUpdate(changes, now))
	}
	due := outbox.cold.take()
	for _, notice := range slices.Concat(due, outbox.recentCold.except(due, now)) {
		digest.Cold = append(digest.Cold, notice.message(now))
	}
	digest.Reservations = encodeReservations(outbox.reservations.take(), now)
	outbox.fillReminders(digest, room-proto.Size(digest))
}

// placementOverhead is the size of a placement in a digest beyond its own bytes.
const placementOverhead = 3

// fillReminders adds reminders up to a size in bytes, newest first.
func (outbox *outbox) fillReminders(digest *encoder.PeerDigest, room int) {
	for len(outbox.reminders) > 0 {
		last := len(outbox.reminders) - 1
		message := outbox.reminders[last].message()
		room -= proto.Size(message) + placementOverhead
		if room < 0 {
			return
		}
		digest.Placements = append(digest.Placements, message)
		outbox.reminders = outbox.reminders[:last]
	}
}

// reminderRoom returns the size in bytes up to which a digest keeps to reminderInterval.
func reminderRoom(peers int, budget float64) int {
	return int(budget * float64(reminderInterval) / float64(timekeeper.Second) / float64(max(1, peers)))
}

// fillInFlight writes the requests in flight into a digest, in a fixed order.
func fillInFlight(digest *encoder.PeerDigest, inFlight map[balancer.Key]balancer.InFlight) {
	keys := slices.Sorted(maps.Keys(inFlight))
	for _, key := range keys {
		digest.Replicas = append(digest.Replicas, uint32(key))
		digest.Running = append(digest.Running, uint32(max(0, inFlight[key].Running)))
		digest.Unread = append(digest.Unread, uint32(max(0, inFlight[key].PendingTokens)))
		digest.Rates = append(digest.Rates, uint32(max(0, inFlight[key].Rate)))
	}
	if !slices.ContainsFunc(digest.Rates, func(rate uint32) bool { return rate > 0 }) {
		digest.Rates = nil
	}
}

// steadyInterval returns the time between two digests of a size to a number of peers within
// a budget in bytes a second. With more peers an entry's cost stays the same, and peers
// receive its state later.
func steadyInterval(size, peers int, budget float64) timekeeper.Span {
	if budget <= 0 {
		return minInterval
	}
	span := timekeeper.Span(float64(size*peers) / budget * float64(timekeeper.Second))
	return min(max(span, minInterval), maxInterval)
}

const (
	// steadyShare is the share of the budget that digests may always use; the rest is saved
	// as the allowance for bursts of long digests.
	steadyShare = 0.8
	// burstSeconds is the full allowance, in seconds of the budget.
	burstSeconds = 30
	// burstInterval is the time between two digests while the allowance lasts.
	burstInterval = 250 * timekeeper.Millisecond
	// minBurstDigests is the minimum number of digests that a full allowance must pay for
	// to be used at all: with hundreds of peers one digest would use it up.
	minBurstDigests = 10
)

// burstAllowance is an allowance in bytes, saved from the budget, for long digests: these
// occur when many prompts are prefilled for the first time, which is when entries need them
// most. The zero value is a full allowance.
type burstAllowance struct {
	spent     float64
	updatedAt timekeeper.Instant
}

// shorten returns the time to the next digest: at most burstInterval if the allowance
// covers the extra cost, otherwise steady. cost is that of sending one digest to all peers,
// in bytes.
func (allowance *burstAllowance) shorten(
	steady timekeeper.Span, cost int, budget float64, now timekeeper.Instant,
) timekeeper.Span {
	earned := (1 - steadyShare) * budget * float64(now.Since(allowance.updatedAt)) / float64(timekeeper.Second)
	allowance.spent, allowance.updatedAt = max(0, allowance.spent-earned), now
	if steady <= burstInterval {
		return steady
	}
	extra := float64(cost) * (1 - float64(burstInterval)/float64(steady))
	if extra > burstSeconds*budget/minBurstDigests || allowance.spent+extra > burstSeconds*budget {
		return steady
	}
	allowance.spent += extra
	return burstInterval
}
