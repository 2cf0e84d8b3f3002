package placer

import "slices"

// MaxOffers is how many offers one call makes at most. It bounds what a
// saturated service costs, however many replicas it has.
const MaxOffers = 3

// Stop is a replica that an offer goes to.
type Stop struct {
	Replica Replica
	// Seek says that the offer goes there for the chat's prefix alone: a replica
	// that doesn't know the chat sends it back.
	Seek bool
	// Free says that the stop follows a hint and is no retry after a failure.
	Free bool
}

// Refusal is what an itinerary reads in a refusal.
type Refusal struct {
	// Moved says that the chat is elsewhere, and that the replica would take it
	// if it came again.
	Moved bool
	// AtBound says that the replica carries its share, so others carry less. What
	// follows is a part of placing the call, which can't add to a saturation, and
	// no charge on the retry budget.
	AtBound bool
	// Where is the replica that the chat last ran at, or "".
	Where string
	// Room is a replica with room, or "".
	Room string
}

// Itinerary leads one call's offers: to the chat's home, then where a hint
// says, then along the ranking.
type Itinerary struct {
	roster  Roster
	away    []string
	ranked  []Replica
	visited []string
	// home is set when the home sent the offer on and is to be asked again.
	home bool
	hint Refusal
	// bounded is the replica that refused at its bound last.
	bounded string
}

// NewItinerary returns the itinerary of a chat. It passes by the replicas that
// were lately out of reach, unless there are no others.
func NewItinerary(roster Roster, chat uint64, away []string) *Itinerary {
	all := roster.Rank(chat, MaxOffers+len(away))
	ranked := slices.DeleteFunc(slices.Clone(all), func(replica Replica) bool { return slices.Contains(away, replica.Name) })
	if len(ranked) == 0 {
		ranked, away = all, nil
	}
	return &Itinerary{roster: roster, away: away, ranked: ranked[:min(MaxOffers, len(ranked))]}
}

// Ranked returns the names of the replicas as they rank for the chat.
func (itinerary *Itinerary) Ranked() []string {
	names := make([]string, len(itinerary.ranked))
	for i, replica := range itinerary.ranked {
		names[i] = replica.Name
	}
	return names
}

// Keepers returns the replicas that are to know where the chat ran: its home,
// and the runner-up, which is the home should the home fail.
func (itinerary *Itinerary) Keepers(served Replica) []Replica {
	if itinerary.ranked[0].Name == served.Name {
		return nil
	}
	keepers := slices.Clone(itinerary.ranked[:min(2, len(itinerary.ranked))])
	return slices.DeleteFunc(keepers, func(keeper Replica) bool { return keeper.Name == served.Name })
}

// Visited reports whether a replica was a stop already.
func (itinerary *Itinerary) Visited(name string) bool {
	return slices.Contains(itinerary.visited, name)
}

// Refused takes in the refusal of the last stop.
func (itinerary *Itinerary) Refused(refusal Refusal) {
	itinerary.hint = refusal
	if refusal.AtBound && len(itinerary.visited) > 0 {
		itinerary.bounded = itinerary.visited[len(itinerary.visited)-1]
	}
	if refusal.Moved && len(itinerary.visited) == 1 {
		itinerary.home = true
	}
}

// Next returns the next stop; it returns false when there is none left.
func (itinerary *Itinerary) Next() (Stop, bool) {
	if len(itinerary.visited) >= MaxOffers || len(itinerary.ranked) == 0 {
		return Stop{}, false
	}
	stop, ok := itinerary.choose()
	stop.Free = stop.Free || itinerary.hint.AtBound
	if ok {
		itinerary.visited = append(itinerary.visited, stop.Replica.Name)
	}
	return stop, ok
}

// Again returns the replica that refused at its bound once more, as the last
// stop, when no other is left before the itinerary is at its full length.
//
// The failure: a service of three has one replica stopped and one not yet known,
// and the mean still counts all three. The symptom: the one that is left is over
// its share of nothing, and callers are refused while its slots are free. Offered
// as the last stop it gives a free slot, as it does to a call that three refused.
func (itinerary *Itinerary) Again() (Stop, bool) {
	if itinerary.bounded == "" || len(itinerary.visited) >= MaxOffers {
		return Stop{}, false
	}
	replica, ok := itinerary.roster.Find(itinerary.bounded)
	for len(itinerary.visited) < MaxOffers {
		itinerary.visited = append(itinerary.visited, replica.Name)
	}
	return Stop{Replica: replica, Free: true}, ok
}

func (itinerary *Itinerary) choose() (Stop, bool) {
	first := len(itinerary.visited) == 0
	if !first {
		if replica, ok := itinerary.fresh(itinerary.hint.Where); ok {
			return Stop{Replica: replica, Free: itinerary.hint.Moved}, true
		}
	}
	// The home asked to look at the runner-up, without knowing more.
	if itinerary.home && len(itinerary.visited) == 1 && itinerary.hint.Where == "" && len(itinerary.ranked) > 1 {
		return Stop{Replica: itinerary.ranked[1], Seek: true, Free: true}, true
	}
	if replica, ok := itinerary.fresh(itinerary.hint.Room); ok && len(itinerary.visited) == MaxOffers-1 {
		return Stop{Replica: replica, Free: true}, true
	}
	if itinerary.home && !first {
		itinerary.home = false
		return Stop{Replica: itinerary.ranked[0], Free: true}, true
	}
	for _, replica := range itinerary.ranked {
		if !slices.Contains(itinerary.visited, replica.Name) {
			return Stop{Replica: replica}, true
		}
	}
	return Stop{}, false
}

// fresh returns the named replica when the roster has it and it was not visited.
func (itinerary *Itinerary) fresh(name string) (Replica, bool) {
	if name == "" || slices.Contains(itinerary.visited, name) || slices.Contains(itinerary.away, name) {
		return Replica{}, false
	}
	return itinerary.roster.Find(name)
}
