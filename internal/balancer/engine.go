package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

// Engine holds the configured properties of the engines of a service. The zero value stands for
// a plain service.
type Engine struct {
	// Memory is how many tokens an engine holds, running and cached together.
	Memory int
	// TokenBytes is the memory of one token, in bytes; zero means that engines don't transfer
	// cached parts.
	TokenBytes float64
	// LinkRate is how many bytes the link of an engine carries in a millisecond; zero means
	// that engines don't transfer cached parts.
	LinkRate float64
}

// canTransfer reports whether engines transfer cached parts to each other.
func (engine Engine) canTransfer() bool { return engine.TokenBytes > 0 && engine.LinkRate > 0 }

// transferTime returns how long a transfer of the given number of tokens takes, in
// milliseconds.
func (engine Engine) transferTime(tokens int) float64 {
	return transferSetup + float64(tokens)*engine.TokenBytes/engine.LinkRate
}

// SetEngine sets the properties of the engines of a service.
func (fleet *Fleet) SetEngine(service string, engine Engine) {
	fleet.engines[service] = engine
	for _, member := range fleet.services[service] {
		if member.cache != nil {
			member.cache.capacity = capacityOf(engine.Memory)
		}
	}
}

// roundToSpan rounds fractional milliseconds to a span.
func roundToSpan(milliseconds float64) timekeeper.Span { return timekeeper.Span(milliseconds + 0.5) }
