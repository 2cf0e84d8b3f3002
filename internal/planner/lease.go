package planner

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// MaxClockSkew is how far the clocks of two instances may be apart. The platform keeps
// them within milliseconds; two seconds leave room for a clock that is being
// corrected.
const MaxClockSkew = 2 * timekeeper.Second

// Lease is the row that says who plans for a service. It is an immutable value.
type Lease struct {
	Holder string `json:"holder"`
	// Fence grows by one whenever the lease is taken anew, by whomever.
	Fence uint64             `json:"fence"`
	Until timekeeper.Instant `json:"until"`
	// NoOrdersBefore is until when the holder gives no orders, since an order of the
	// holder before may still run at an engine that checks no numbers.
	NoOrdersBefore timekeeper.Instant `json:"quiet"`
}

// Terms are how a service's lease is held.
type Terms struct {
	// Span is how long a lease lasts without being renewed.
	Span timekeeper.Span
	// OrderTimeout bounds an order at an engine; agents cut it off then.
	OrderTimeout timekeeper.Span
	// EnginesCheckFence says that engines refuse an order with a lower number.
	EnginesCheckFence bool
}

// LeaseAction is what to do about a lease.
type LeaseAction uint8

// The steps.
const (
	// NoAction it: another holds it, or it is renewed early enough.
	NoAction LeaseAction = iota + 1
	// Renew it under the same number.
	Renew
	// Acquire it under the next number.
	Acquire
)

// Next decides about a lease as it was read, and returns the row to write.
//
// The failure: a holder is paused past its lease, another takes over, and the
// first wakes and goes on. The symptom: an adapter that was just loaded is
// unloaded, and a team's calls fail. An own lease that has run out is taken
// under a new number like any other, since somebody may have held it between.
// Where engines check no numbers, orders wait until the last one of the holder
// before must have ended: it was sent before Until and took LongestOrder.
func (lease Lease) Next(me string, terms Terms, now timekeeper.Instant) (Lease, LeaseAction) {
	mine := lease.Holder == me && now < lease.Until
	switch {
	case mine && lease.Until.Since(now) > terms.Span/2:
		return lease, NoAction
	case mine:
		lease.Until = now.Add(terms.Span)
		return lease, Renew
	case lease.Fence > 0 && now < lease.Until.Add(MaxClockSkew):
		return lease, NoAction
	}
	next := Lease{Holder: me, Fence: lease.Fence + 1, Until: now.Add(terms.Span), NoOrdersBefore: now}
	if lease.Fence > 0 && !terms.EnginesCheckFence {
		next.NoOrdersBefore = max(lease.Until, lease.NoOrdersBefore).Add(terms.OrderTimeout + MaxClockSkew)
	}
	return next, Acquire
}

// MayOrder reports whether the holder may give an order now.
func (lease Lease) MayOrder(me string, now timekeeper.Instant) bool {
	return lease.Holder == me && now >= lease.NoOrdersBefore && now < lease.Until
}

// NextCheck returns the time to the next look at the row. The holder looks in time
// to renew. Others look once the lease must have run out, each at a time of its
// own in one span, so that hundreds of entries cost the store little and one of
// them is early. draw is from [0, 1).
func (lease Lease) NextCheck(me string, terms Terms, draw float64, now timekeeper.Instant) timekeeper.Span {
	if lease.Holder == me && now < lease.Until {
		return max(terms.Span/4, 1)
	}
	left := max(0, lease.Until.Add(MaxClockSkew).Since(now))
	return left + max(1, timekeeper.Span(float64(terms.Span)*draw))
}

// Gate is an agent's guard before its engine. It is an immutable value.
type Gate struct {
	// Highest is the highest number that the agent has seen.
	Highest uint64
}

// Verdict is what a gate says about an order.
type Verdict uint8

// The verdicts.
const (
	Pass Verdict = iota + 1
	// StaleFence says that a later holder has given orders.
	StaleFence
	// LeaseExpired says that the order's lease has run out.
	LeaseExpired
)

// Check decides about an order. It is asked when the order comes and again at
// the last moment before it is sent: between the two the agent may have been
// paused, or may have waited for an order before.
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
