package reserver

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Reservation is the time at which the caller of a refused request was told to return.
type Reservation struct {
	// Fingerprint is the lower half of the request's fingerprint.
	Fingerprint uint32
	Due         timekeeper.Instant
}

// Ask is a refused request that asks for a time of return.
type Ask struct {
	// Fingerprint is the hash of the request that is equal for all attempts of its caller.
	Fingerprint uint64
	Team        string
	// Rank orders requests; the lowest rank is the most urgent.
	Rank int
	// Within reports whether the request's team is within its share.
	Within bool
	// Latest is the last time at which the caller may return.
	Latest timekeeper.Instant
}

// Supply is the free capacity of a service.
type Supply struct {
	// PerSecond is the free capacity over all entries, in requests a second, and Portion this
	// entry's portion of it, from 0 to 1.
	PerSecond, Portion float64
	// MoreUrgent is the share of the arrivals that are more urgent than the request, from 0 to 1.
	MoreUrgent float64
	// Shortest is the time in which peers learn of a reservation; return times are not shorter.
	Shortest timekeeper.Span
	// Peers is the book with the reservations of peers, or nil, and PeersPortion the portion of them
	// that is for this service.
	Peers        *Book
	PeersPortion float64
}

// room is how much a schedule may reserve, in requests a millisecond: own is this entry's part, all that
// of all entries, and usable the share of both that the request may use.
type room struct {
	own, all, usable float64
	peers            *schedule
	peersPortion     float64
}

// room returns what the schedule of a book may reserve.
func (supply Supply) room(usable float64) room {
	room := room{
		own: max(minPerSecond, supply.PerSecond*supply.Portion) / float64(timekeeper.Second),
		all: max(minPerSecond, supply.PerSecond) / float64(timekeeper.Second), usable: usable, peersPortion: supply.PeersPortion,
	}
	if supply.Peers != nil {
		room.peers = &supply.Peers.schedule
	}
	return room
}

// Standing is what a reservation means for the request that returns on it.
type Standing uint8

const (
	// None means that the request has no reservation.
	None Standing = iota
	// Early means that the reserved time has not come yet.
	Early
	// Due means that the request returns at its time.
	Due
)

// String returns the name of a standing in logs and metrics.
func (standing Standing) String() string {
	switch standing {
	case Early:
		return "early"
	case Due:
		return "due"
	case None:
	}
	return "none"
}

// Count is the number of reservations that are due in a span, by where they were made.
type Count struct{ Own, Peers int }
