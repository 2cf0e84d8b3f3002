package placer

import "slices"

// MaxOffers is how many offers one call makes at most. It bounds what a
// saturated service costs, however many replicas it has.
const MaxOffers = 3

// Attempt is a replica that an offer goes to.
type Attempt struct {
	Replica Replica
	// OnlyIfCached says that the offer goes there for the chat's prefix alone: a replica
	// that doesn't know the chat sends it back.
	OnlyIfCached bool
	// BudgetExempt says that the stop follows a hint and is no retry after a failure.
	BudgetExempt bool
}

// Refusal is what an plan reads in a refusal.
type Refusal struct {
	// Moved says that the chat is elsewhere, and that the replica would take it
	// if it came again.
	Moved bool
	// AtBound says that the replica carries its share, so others carry less. What
	// follows is a part of placing the call, which can't add to a saturation, and
	// no charge on the retry budget.
	AtBound bool
	// LastReplica is the replica that the chat last ran at, or "".
	LastReplica string
	// Alternative is a replica with room, or "".
	Alternative string
}

// AttemptPlan leads one call's offers: to the chat's home, then where a hint
// says, then along the ranking.
type AttemptPlan struct {
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

// NewAttemptPlan returns the plan of a chat. It passes by the replicas that
// were lately out of reach, unless there are no others.
func NewAttemptPlan(roster Roster, chat uint64, away []string) *AttemptPlan {
	all := roster.Rank(chat, MaxOffers+len(away))
	ranked := slices.DeleteFunc(slices.Clone(all), func(replica Replica) bool { return slices.Contains(away, replica.Name) })
	if len(ranked) == 0 {
		ranked, away = all, nil
	}
	return &AttemptPlan{roster: roster, away: away, ranked: ranked[:min(MaxOffers, len(ranked))]}
}

// Ranked returns the names of the replicas as they rank for the chat.
func (plan *AttemptPlan) Ranked() []string {
	names := make([]string, len(plan.ranked))
	for i, replica := range plan.ranked {
		names[i] = replica.Name
	}
	return names
}

// PointerHolders returns the replicas that are to know where the chat ran: its home,
// and the runner-up, which is the home should the home fail.
func (plan *AttemptPlan) PointerHolders(served Replica) []Replica {
	if plan.ranked[0].Name == served.Name {
		return nil
	}
	holders := slices.Clone(plan.ranked[:min(2, len(plan.ranked))])
	return slices.DeleteFunc(holders, func(keeper Replica) bool { return keeper.Name == served.Name })
}

// Attempted reports whether a replica was a stop already.
func (plan *AttemptPlan) Attempted(name string) bool {
	return slices.Contains(plan.visited, name)
}

// RecordRefusal takes in the refusal of the last stop.
func (plan *AttemptPlan) RecordRefusal(refusal Refusal) {
	plan.hint = refusal
	if refusal.AtBound && len(plan.visited) > 0 {
		plan.bounded = plan.visited[len(plan.visited)-1]
	}
	if refusal.Moved && len(plan.visited) == 1 {
		plan.home = true
	}
}

// Next returns the next stop; it returns false when there is none left.
func (plan *AttemptPlan) Next() (Attempt, bool) {
	if len(plan.visited) >= MaxOffers || len(plan.ranked) == 0 {
		return Attempt{}, false
	}
	stop, ok := plan.choose()
	stop.BudgetExempt = stop.BudgetExempt || plan.hint.AtBound
	if ok {
		plan.visited = append(plan.visited, stop.Replica.Name)
	}
	return stop, ok
}

// RetryAtBound returns the replica that refused at its bound once more, as the last
// stop, when no other is left before the plan is at its full length.
//
// The failure: a service of three has one replica stopped and one not yet known,
// and the mean still counts all three. The symptom: the one that is left is over
// its share of nothing, and callers are refused while its slots are free. Offered
// as the last stop it gives a free slot, as it does to a call that three refused.
func (plan *AttemptPlan) RetryAtBound() (Attempt, bool) {
	if plan.bounded == "" || len(plan.visited) >= MaxOffers {
		return Attempt{}, false
	}
	replica, ok := plan.roster.Find(plan.bounded)
	for len(plan.visited) < MaxOffers {
		plan.visited = append(plan.visited, replica.Name)
	}
	return Attempt{Replica: replica, BudgetExempt: true}, ok
}

func (plan *AttemptPlan) choose() (Attempt, bool) {
	first := len(plan.visited) == 0
	if !first {
		if replica, ok := plan.fresh(plan.hint.LastReplica); ok {
			return Attempt{Replica: replica, BudgetExempt: plan.hint.Moved}, true
		}
	}
	// The home asked to look at the runner-up, without knowing more.
	if plan.home && len(plan.visited) == 1 && plan.hint.LastReplica == "" && len(plan.ranked) > 1 {
		return Attempt{Replica: plan.ranked[1], OnlyIfCached: true, BudgetExempt: true}, true
	}
	if replica, ok := plan.fresh(plan.hint.Alternative); ok && len(plan.visited) == MaxOffers-1 {
		return Attempt{Replica: replica, BudgetExempt: true}, true
	}
	if plan.home && !first {
		plan.home = false
		return Attempt{Replica: plan.ranked[0], BudgetExempt: true}, true
	}
	for _, replica := range plan.ranked {
		if !slices.Contains(plan.visited, replica.Name) {
			return Attempt{Replica: replica}, true
		}
	}
	return Attempt{}, false
}

// fresh returns the named replica when the roster has it and it was not visited.
func (plan *AttemptPlan) fresh(name string) (Replica, bool) {
	if name == "" || slices.Contains(plan.visited, name) || slices.Contains(plan.away, name) {
		return Replica{}, false
	}
	return plan.roster.Find(name)
}
