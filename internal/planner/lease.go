package planner

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// MaxClockSkew is the largest assumed difference between the clocks of two instances. The
// platform keeps them within milliseconds of each other; two seconds leave room for a
// clock that is being corrected.
const MaxClockSkew = 2 * timekeeper.Second

// Lease is the row that names the planner of a service. It is an immutable value.
type Lease struct {
	Holder string `json:"holder"`
	// Fence is the fencing token. It grows by one whenever the lease is acquired, by the
	// same holder or another.
	Fence uint64             `json:"fence"`
	Until timekeeper.Instant `json:"until"`
	// NoOrdersBefore is when the holder may give its first order. Until then, an order of
	// the previous holder may still run at an engine that doesn't check fencing tokens.
	NoOrdersBefore timekeeper.Instant `json:"quiet"`
}

// Terms are the settings of a service's lease.
type Terms struct {
	// Span is how long a lease lasts without a renewal.
	Span timekeeper.Span
	// OrderTimeout bounds an order at an engine; agents cancel it then.
	OrderTimeout timekeeper.Span
	// EnginesCheckFence is true if engines refuse an order with a lower fencing token.
	EnginesCheckFence bool
}

// LeaseAction is what to do about a lease.
type LeaseAction uint8

// The actions.
const (
	// NoAction: another process holds the lease, or it is not yet due for renewal.
	NoAction LeaseAction = iota + 1
	// Renew extends the lease under the same fencing token.
	Renew
	// Acquire takes the lease under the next fencing token.
	Acquire
)

// Next decides about a lease as it was read, and returns the row to write.
//
// It guards against a holder that is paused past its lease and goes on after another has
// taken over: it would unload an adapter that was just loaded, and a team's calls would
// fail. A process acquires its own expired lease under a new token too, since another may
// have held it in between. Where engines don't check tokens, the new holder gives no
// orders until the last order of the previous holder must have ended: that was sent before
// Until and took OrderTimeout at most.
func (lease Lease) Next(self string, terms Terms, now timekeeper.Instant) (Lease, LeaseAction) {
	mine := lease.Holder == self && now < lease.Until
	switch {
	case mine && lease.Until.Since(now) > terms.Span/2:
		return lease, NoAction
	case mine:
		lease.Until = now.Add(terms.Span)
		return lease, Renew
	case lease.Fence > 0 && now < lease.Until.Add(MaxClockSkew):
		return lease, NoAction
	}
	next := Lease{Holder: self, Fence: lease.Fence + 1, Until: now.Add(terms.Span), NoOrdersBefore: now}
	if lease.Fence > 0 && !terms.EnginesCheckFence {
		next.NoOrdersBefore = max(lease.Until, lease.NoOrdersBefore).Add(terms.OrderTimeout + MaxClockSkew)
	}
	return next, Acquire
}

// MayOrder reports whether self holds the lease and may give an order now.
func (lease Lease) MayOrder(self string, now timekeeper.Instant) bool {
	return lease.Holder == self && now >= lease.NoOrdersBefore && now < lease.Until
}

// NextCheck returns the time to the next read of the row. The holder reads in time to
// renew. Other entries read once the lease must have expired, each at a random time within
// one Span, so that hundreds of entries cost the store little and one of them reads early.
// draw is from [0, 1).
func (lease Lease) NextCheck(self string, terms Terms, draw float64, now timekeeper.Instant) timekeeper.Span {
	if lease.Holder == self && now < lease.Until {
		return max(terms.Span/4, 1)
	}
	left := max(0, lease.Until.Add(MaxClockSkew).Since(now))
	return left + max(1, timekeeper.Span(float64(terms.Span)*draw))
}

// Gate rejects stale orders at an agent, before they reach its engine. It is an immutable
// value.
type Gate struct {
	// Highest is the highest fencing token that the agent has seen.
	Highest uint64
}

// Verdict is a gate's decision about an order.
type Verdict uint8

// The verdicts.
const (
	Pass Verdict = iota + 1
	// StaleFence means that a later holder has given orders.
	StaleFence
	// LeaseExpired means that the order's lease has expired.
	LeaseExpired
)

// Check decides about an order. The agent calls it when the order arrives and again
// immediately before it is sent: between the two, the agent may have been paused, or may
// have waited for a previous order.
func (gate Gate) Check(fence uint64, until, now timekeeper.Instant) (Gate, Verdict) {
	if fence < gate.Highest {
		return gate, StaleFence
	}
	gate.Highest = fence
	if now >= until {
		return gate, LeaseExpired
	}
	return gate, Pass
}
