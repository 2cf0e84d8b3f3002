package placer

import "slices"

// MaxOffers is how many offers one call makes at most. It bounds the cost of a
// call to a saturated service, regardless of the number of replicas.
const MaxOffers = 3

// Attempt is one offer of a call to a replica.
type Attempt struct {
	Replica Replica
	// OnlyIfCached is true if the replica should take the call only when it caches
	// the chat's prefix.
	OnlyIfCached bool
	// BudgetExempt is true if the attempt isn't charged to the retry budget, since it
	// is part of placing the call and no retry after a failure: it follows a redirect
	// or a refusal at the bound, or goes to an alternative with free capacity.
	BudgetExempt bool
}

// Refusal holds the fields of a refusal that a plan depends on.
type Refusal struct {
	// Redirected is true if the replica redirected the call and will take the call on
	// a second offer.
	Redirected bool
	// AtBound is true if the replica is at its bound, so that others carry less.
	// The next attempt still belongs to the placement of the call: it can't add to
	// a saturation, and it isn't charged to the retry budget.
	AtBound bool
	// LastReplica is the replica that the chat last ran on, or "".
	LastReplica string
	// Alternative is a replica with free capacity, or "".
	Alternative string
}

// AttemptPlan orders the attempts of one call: first the chat's home; then the
// replica that the latest refusal names as the chat's last one, or the runner-up if
// the home redirected the call without naming one; then the home again if it
// redirected the call; then the rest of the ranking. On the last attempt an
// alternative with free capacity comes before the home and the ranking.
type AttemptPlan struct {
	roster      Roster
	unreachable []string
	ranked      []Replica
	attempted   []string
	// retryHome is true if the home redirected the call and will take the call on a
	// second offer.
	retryHome   bool
	lastRefusal Refusal
	// atBound is the replica that refused at its bound most recently.
	atBound string
}

// NewAttemptPlan returns the plan of a chat. It skips the replicas that were
// recently unreachable, unless there are no others.
func NewAttemptPlan(roster Roster, chat uint64, unreachable []string) *AttemptPlan {
	all := roster.Rank(chat, MaxOffers+len(unreachable))
	ranked := slices.DeleteFunc(slices.Clone(all), func(replica Replica) bool { return slices.Contains(unreachable, replica.Name) })
	if len(ranked) == 0 {
		ranked, unreachable = all, nil
	}
	return &AttemptPlan{roster: roster, unreachable: unreachable, ranked: ranked[:min(MaxOffers, len(ranked))]}
}

// Ranked returns the names of the replicas in the order of the chat's ranking.
func (plan *AttemptPlan) Ranked() []string {
	names := make([]string, len(plan.ranked))
	for i, replica := range plan.ranked {
		names[i] = replica.Name
	}
	return names
}

// PointerHolders returns the replicas that should record where the chat ran: its
// home, and the runner-up, which becomes the home if the home fails.
func (plan *AttemptPlan) PointerHolders(served Replica) []Replica {
	if plan.ranked[0].Name == served.Name {
		return nil
	}
	targets := slices.Clone(plan.ranked[:min(2, len(plan.ranked))])
	return slices.DeleteFunc(targets, func(target Replica) bool { return target.Name == served.Name })
}

// Attempted reports whether the call was offered to the replica.
func (plan *AttemptPlan) Attempted(name string) bool {
	return slices.Contains(plan.attempted, name)
}

// RecordRefusal records the refusal of the latest attempt.
func (plan *AttemptPlan) RecordRefusal(refusal Refusal) {
	plan.lastRefusal = refusal
	if refusal.AtBound && len(plan.attempted) > 0 {
		plan.atBound = plan.attempted[len(plan.attempted)-1]
	}
	if refusal.Redirected && len(plan.attempted) == 1 {
		plan.retryHome = true
	}
}

// Next returns the next attempt; it returns false when there is none left.
func (plan *AttemptPlan) Next() (Attempt, bool) {
	if len(plan.attempted) >= MaxOffers || len(plan.ranked) == 0 {
		return Attempt{}, false
	}
	attempt, ok := plan.choose()
	attempt.BudgetExempt = attempt.BudgetExempt || plan.lastRefusal.AtBound
	if ok {
		plan.attempted = append(plan.attempted, attempt.Replica.Name)
	}
	return attempt, ok
}

// RetryAtBound returns, as the last attempt, the replica that refused at its
// bound, if the plan runs out of replicas before MaxOffers attempts.
//
// It covers a service of three replicas of which one has stopped and one isn't
// known to the entry yet, while the mean still counts all three. The remaining
// replica then exceeds its share and would refuse callers while its slots are
// free. On the last attempt it gives a free slot, as any replica does on the third
// attempt of a call.
func (plan *AttemptPlan) RetryAtBound() (Attempt, bool) {
	if plan.atBound == "" || len(plan.attempted) >= MaxOffers {
		return Attempt{}, false
	}
	replica, ok := plan.roster.Find(plan.atBound)
	// Use up the remaining attempts: a replica at its bound gives a free slot only on
	// the last attempt.
	for len(plan.attempted) < MaxOffers {
		plan.attempted = append(plan.attempted, replica.Name)
	}
	return Attempt{Replica: replica, BudgetExempt: true}, ok
}

func (plan *AttemptPlan) choose() (Attempt, bool) {
	first := len(plan.attempted) == 0
	if !first {
		if replica, ok := plan.findNew(plan.lastRefusal.LastReplica); ok {
			return Attempt{Replica: replica, BudgetExempt: plan.lastRefusal.Redirected}, true
		}
	}
	// The home redirected the call without naming a replica: try the runner-up.
	if plan.retryHome && len(plan.attempted) == 1 && plan.lastRefusal.LastReplica == "" && len(plan.ranked) > 1 {
		return Attempt{Replica: plan.ranked[1], OnlyIfCached: true, BudgetExempt: true}, true
	}
	if replica, ok := plan.findNew(plan.lastRefusal.Alternative); ok && len(plan.attempted) == MaxOffers-1 {
		return Attempt{Replica: replica, BudgetExempt: true}, true
	}
	if plan.retryHome && !first {
		plan.retryHome = false
		return Attempt{Replica: plan.ranked[0], BudgetExempt: true}, true
	}
	for _, replica := range plan.ranked {
		if !slices.Contains(plan.attempted, replica.Name) {
			return Attempt{Replica: replica}, true
		}
	}
	return Attempt{}, false
}

// findNew returns the named replica if it is in the roster, reachable and not
// yet attempted.
func (plan *AttemptPlan) findNew(name string) (Replica, bool) {
	if name == "" || slices.Contains(plan.attempted, name) || slices.Contains(plan.unreachable, name) {
		return Replica{}, false
	}
	return plan.roster.Find(name)
}
