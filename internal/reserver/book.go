package reserver

import (
	"cmp"
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// MinReturn is the shortest time after which a refused caller is told to return.
	MinReturn = 100 * timekeeper.Millisecond
	// dueBefore and dueAfter bound when a caller that returns is due, relative to its time.
	dueBefore = 150 * timekeeper.Millisecond
	dueAfter  = timekeeper.Second
	// urgentReserve is the share of the rate that less urgent requests leave, if all other arrivals
	// are more urgent.
	urgentReserve = 0.3
	// minPerSecond keeps times of return finite while this entry has no portion.
	minPerSecond = 1e-3
	// maxReservations bounds the reservations in memory. It is the number that 400 requests a second
	// hold that are told to return in 20 s, a third of the longest timeout.
	maxReservations = 8192
	// pruneInterval is the time between two searches for expired reservations.
	pruneInterval = timekeeper.Second
	// lineMemory is how long a line is remembered that has no reservations. If each refusal began a line
	// of its own, one of them would soon have a high credit.
	lineMemory = 5 * timekeeper.Second
	// rateRise is how many times its earlier rate this entry must get until it gives out earlier times than
	// before: the first callers of a burst are refused before the portion is known.
	rateRise = 1.5
)

// held is a reservation in a book.
type held struct {
	Reservation
	// fromPeer reports whether a peer made the reservation.
	fromPeer bool
}

// line identifies the requests whose times of return are in the order of their refusals.
type line struct {
	team string
	rank int
}

// lineEnd is when the next reservation of a line may be due, in milliseconds. It isn't rounded: at hundreds
// of reservations a second, rounding each of them would leave a tenth of the room unused.
type lineEnd struct {
	next float64
	// rate is the highest rate at which this entry made reservations since the line began, in requests a
	// millisecond.
	rate float64
	// credit is the part of a request for which the first reservation of the line needs no room. It is
	// drawn evenly from 0 to 1: of many entries whose portions are less than a request in the time that
	// their callers have, as many make a reservation as their portions add up to.
	credit float64
}

// Book holds the reservations of one service at one entry. It must be made by New.
type Book struct {
	// byFingerprint holds the reservations, the first due first, and order all of them in the order
	// in which they were added, including those that have been used since.
	byFingerprint map[uint32][]held
	order         []Reservation
	count         int
	schedule      schedule
	lines         map[line]lineEnd
	// teams holds when the last reservation of a team is due.
	teams    map[string]timekeeper.Instant
	fresh    []Reservation
	prunedAt timekeeper.Instant
}

// New returns a book without reservations.
func New() *Book {
	return &Book{byFingerprint: map[uint32][]held{}, lines: map[line]lineEnd{}, teams: map[string]timekeeper.Instant{}}
}

// Reserve returns when the caller of a refused request should return, and whether that time is
// reserved for it. It isn't if the caller has to return earlier.
func (book *Book) Reserve(ask Ask, supply Supply, now timekeeper.Instant) (due timekeeper.Instant, reserved bool) {
	book.prune(now)
	book.schedule.advance(now)
	if supply.Peers != nil {
		supply.Peers.schedule.advance(now)
	}
	earliest := now.Add(max(MinReturn, supply.Shortest))
	if ask.Within {
		if reserved = earliest <= ask.Latest; reserved {
			book.schedule.take(float64(earliest), 1, supply.room(1))
			book.record(ask, earliest)
		}
		return earliest, reserved
	}
	room := supply.room(1 - urgentReserve*supply.MoreUrgent)
	rate := room.own * room.usable
	line := line{team: ask.Team, rank: ask.Rank}
	end, found := book.lines[line]
	if !found {
		end = lineEnd{next: float64(now), rate: rate, credit: float64(uint32(ask.Fingerprint)) / (1 << 32)}
		book.lines[line] = end
	}
	from := float64(earliest)
	if rate <= rateRise*end.rate {
		from = max(from, end.next)
	}
	end.next = book.schedule.find(from, 1-end.credit, room)
	if due = timekeeper.Instant(math.Ceil(end.next)); due > ask.Latest {
		return due, false
	}
	book.schedule.take(from, 1-end.credit, room)
	book.record(ask, due)
	book.lines[line] = lineEnd{next: end.next + (book.countTeams(ask.Team)-1)/rate, rate: max(rate, end.rate)}
	book.teams[ask.Team] = max(book.teams[ask.Team], due)
	return due, true
}

// record adds a reservation that was made here.
func (book *Book) record(ask Ask, due timekeeper.Instant) {
	reservation := Reservation{Fingerprint: uint32(ask.Fingerprint), Due: due}
	book.add(held{Reservation: reservation})
	if len(book.fresh) < maxReservations {
		book.fresh = append(book.fresh, reservation)
	}
}

// countTeams returns the number of teams with reservations that aren't due yet, and the given one.
// Teams whose last reservation was due since the last prune are counted too.
func (book *Book) countTeams(team string) float64 {
	count := len(book.teams)
	if _, found := book.teams[team]; !found {
		count++
	}
	return float64(count)
}

func (book *Book) add(one held) {
	for book.count >= maxReservations {
		book.dropOldest()
	}
	entries := book.byFingerprint[one.Fingerprint]
	index, _ := slices.BinarySearchFunc(entries, one.Due+1, func(a held, due timekeeper.Instant) int { return cmp.Compare(a.Due, due) })
	book.byFingerprint[one.Fingerprint] = slices.Insert(entries, index, one)
	book.order = append(book.order, one.Reservation)
	book.count++
}

// dropOldest removes the reservation that was added first.
func (book *Book) dropOldest() {
	oldest := book.order[0]
	book.order = book.order[1:]
	book.remove(oldest.Fingerprint, func(one held) bool { return one.Reservation == oldest })
}

// remove removes the first reservation of a fingerprint that matches.
func (book *Book) remove(fingerprint uint32, matches func(one held) bool) {
	entries := book.byFingerprint[fingerprint]
	index := slices.IndexFunc(entries, matches)
	if index < 0 {
		return
	}
	book.count--
	if len(entries) == 1 {
		delete(book.byFingerprint, fingerprint)
		return
	}
	book.byFingerprint[fingerprint] = slices.Delete(entries, index, index+1)
}

// prune removes expired reservations and teams without any, once in each pruneInterval.
func (book *Book) prune(now timekeeper.Instant) {
	if now.Since(book.prunedAt) < pruneInterval {
		return
	}
	book.prunedAt = now
	for fingerprint := range book.byFingerprint {
		book.dropExpired(fingerprint, now)
	}
	for team, last := range book.teams {
		if last < now {
			delete(book.teams, team)
		}
	}
	for line, end := range book.lines {
		if end.next+float64(lineMemory) < float64(now) {
			delete(book.lines, line)
		}
	}
	book.order = slices.DeleteFunc(book.order, func(one Reservation) bool { return !book.holds(one) })
}

// dropExpired removes the reservations of a fingerprint that weren't used in their time.
func (book *Book) dropExpired(fingerprint uint32, now timekeeper.Instant) {
	for len(book.byFingerprint[fingerprint]) > 0 && now > book.byFingerprint[fingerprint][0].Due.Add(dueAfter) {
		book.remove(fingerprint, func(held) bool { return true })
	}
}

func (book *Book) holds(reservation Reservation) bool {
	return slices.ContainsFunc(book.byFingerprint[reservation.Fingerprint], func(one held) bool { return one.Reservation == reservation })
}

// Standing returns what the reservations mean for a request with a fingerprint that arrives now, and
// for an early one the time that remains.
func (book *Book) Standing(fingerprint uint64, now timekeeper.Instant) (Standing, timekeeper.Span) {
	book.dropExpired(uint32(fingerprint), now)
	entries := book.byFingerprint[uint32(fingerprint)]
	if len(entries) == 0 {
		return None, 0
	}
	remaining := entries[0].Due.Since(now)
	if remaining <= dueBefore {
		return Due, 0
	}
	return Early, remaining
}

// Redeem uses up the first reservation of a fingerprint.
func (book *Book) Redeem(fingerprint uint64) {
	book.remove(uint32(fingerprint), func(held) bool { return true })
}

// Receive adds reservations that a peer has made.
func (book *Book) Receive(reservations []Reservation, now timekeeper.Instant) {
	book.prune(now)
	book.schedule.advance(now)
	for _, reservation := range reservations {
		if now <= reservation.Due.Add(dueAfter) && !book.holds(reservation) {
			book.add(held{Reservation: reservation, fromPeer: true})
			book.schedule.spread(reservation.Due)
		}
	}
}

// Fresh returns the reservations made here since the last call, for digests.
func (book *Book) Fresh() []Reservation {
	fresh := book.fresh
	book.fresh = nil
	return fresh
}

// Len returns the number of reservations that aren't used or expired.
func (book *Book) Len(now timekeeper.Instant) int {
	book.prune(now)
	return book.count
}

// Count returns how many reservations are due from an instant until before another one.
func (book *Book) Count(from, until timekeeper.Instant) (count Count) {
	for _, entries := range book.byFingerprint {
		for _, one := range entries {
			switch {
			case one.Due < from || one.Due >= until:
			case one.fromPeer:
				count.Peers++
			default:
				count.Own++
			}
		}
	}
	return count
}
