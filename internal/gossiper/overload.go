package gossiper

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/trefoilseam/trefoilseam/internal/apportioner"
	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// hundredths is the number of units of a demand on the wire in a place.
	hundredths = 100
	// maxPlaces bounds a demand in a digest, in places, and maxBlocked the requests that found no
	// place. A message that exceeds them is from a faulty sender.
	maxPlaces, maxBlocked = 1_000_000, 10_000_000
	// maxDueIn is the longest time until a reservation is due in a digest.
	maxDueIn = timekeeper.Hour
	// maxPastDue is how long after its time a reservation is still sent, as one that is due now.
	maxPastDue = timekeeper.Second
)

// encodeDemands returns the demands of services in a fixed order.
func encodeDemands(demands []balancer.ServiceDemand) []*encoder.PeerDemand {
	messages := make([]*encoder.PeerDemand, 0, len(demands))
	for _, demand := range demands {
		message := &encoder.PeerDemand{
			Service: demand.Service, Total: inUnits(demand.Demand.Total, hundredths, maxPlaces),
			Blocked: inUnits(demand.Blocked, 1, maxBlocked), Usual: inUnits(demand.Usual, hundredths, maxPlaces),
		}
		for _, team := range slices.Sorted(maps.Keys(demand.Demand.Teams)) {
			message.Teams = append(message.Teams, team)
			message.Places = append(message.Places, inUnits(demand.Demand.Teams[team], hundredths, maxPlaces))
		}
		messages = append(messages, message)
	}
	slices.SortFunc(messages, func(one, other *encoder.PeerDemand) int { return cmp.Compare(one.Service, other.Service) })
	return messages
}

// inUnits rounds a figure to a number of units, from zero to most. It returns zero for NaN.
func inUnits(figure, units, most float64) uint32 {
	if !(figure > 0) {
		return 0
	}
	return uint32(math.Round(min(figure, most) * units))
}

// decodeDemands decodes the demands of a digest. It leaves out services and teams with an absurd
// figure.
func decodeDemands(messages []*encoder.PeerDemand) []balancer.ServiceDemand {
	var demands []balancer.ServiceDemand
	for _, message := range messages {
		if max(message.Total, message.Usual) > hundredths*maxPlaces || message.Blocked > maxBlocked {
			continue
		}
		demand := balancer.ServiceDemand{
			Service: message.Service, Blocked: float64(message.Blocked), Usual: inPlaces(message.Usual),
			Demand: apportioner.Demand{Total: inPlaces(message.Total), Teams: map[uint32]float64{}},
		}
		for i := range min(len(message.Teams), len(message.Places)) {
			if message.Places[i] <= hundredths*maxPlaces {
				demand.Demand.Teams[message.Teams[i]] = inPlaces(message.Places[i])
			}
		}
		demands = append(demands, demand)
	}
	return demands
}

// inPlaces converts a figure of a message to places.
func inPlaces(figure uint32) float64 { return float64(figure) / hundredths }

// sameServices reports whether the same services are contended; their demands may differ. Digests
// of the same services go out at idleInterval, so a demand that changes all the time costs no more.
func sameServices(last, next []*encoder.PeerDemand) bool {
	return slices.EqualFunc(last, next, func(one, other *encoder.PeerDemand) bool { return one.Service == other.Service })
}

// encodeReservations returns nil if there is no reservation to send. It leaves out those that have
// lapsed and those that peers would ignore.
func encodeReservations(reservations []reserver.Reservation, now timekeeper.Instant) *encoder.PeerReservations {
	message := &encoder.PeerReservations{}
	for _, reservation := range reservations {
		dueIn := reservation.Due.Since(now)
		if dueIn < -maxPastDue || dueIn > maxDueIn {
			continue
		}
		message.Fingerprints = append(message.Fingerprints, reservation.Fingerprint)
		message.DueInMs = append(message.DueInMs, uint32(max(0, dueIn)))
	}
	if len(message.Fingerprints) == 0 {
		return nil
	}
	return message
}

// decodeReservations decodes the reservations of a digest. It leaves out those whose time is absurd.
func decodeReservations(message *encoder.PeerReservations, now timekeeper.Instant) []reserver.Reservation {
	var reservations []reserver.Reservation
	fingerprints, dueIn := message.GetFingerprints(), message.GetDueInMs()
	for i := range min(len(fingerprints), len(dueIn)) {
		if span := timekeeper.Span(dueIn[i]); span <= maxDueIn {
			reservations = append(reservations, reserver.Reservation{Fingerprint: fingerprints[i], Due: now.Add(span)})
		}
	}
	return reservations
}

const (
	// reservationBudget is what reservations may cost an entry, in bytes a second over all peers, and
	// reservationBurst the seconds of it that are saved for the moment in which many callers are
	// refused.
	reservationBudget, reservationBurst = 2000, 30
	// maxReservations bounds the reservations of a digest, which must stay below maxDatagram.
	maxReservations = 512
	// reservationBytes is the size of a fingerprint in a digest, and reservationsOverhead the most
	// that a digest with reservations takes beyond their fingerprints and times: three tags, one of
	// them of two bytes, and three lengths of up to two bytes.
	reservationBytes, reservationsOverhead = 4, 10
)

// reservationAllowance is what reservations may still cost. The zero value is a full allowance.
type reservationAllowance struct {
	spent     float64
	updatedAt timekeeper.Instant
}

// spend takes a cost in bytes from the allowance, or reports false if it doesn't cover it.
func (allowance *reservationAllowance) spend(cost int, now timekeeper.Instant) bool {
	earned := reservationBudget * float64(now.Since(allowance.updatedAt)) / float64(timekeeper.Second)
	allowance.spent, allowance.updatedAt = max(0, allowance.spent-earned), now
	if allowance.spent+float64(cost) > reservationBurst*reservationBudget {
		return false
	}
	allowance.spent += float64(cost)
	return true
}

// addReservations queues reservations for digests to a number of peers, and returns how many exceed
// the allowance or the length of a digest. All digests that carry a reservation are paid for when it
// is queued, so that one is sent as often as the others or not at all.
func (outbox *outbox) addReservations(fresh []reserver.Reservation, peers int, now timekeeper.Instant) (notSent int) {
	overhead := reservationsOverhead
	for i, reservation := range fresh {
		size := overhead + reservationBytes + protowire.SizeVarint(uint64(max(0, reservation.Due.Since(now))))
		if len(outbox.reservations.items) >= maxReservations || !outbox.reservationAllowance.spend(repeats*size*peers, now) {
			return len(fresh) - i
		}
		outbox.reservations.add(reservation)
		overhead = 0
	}
	return 0
}
