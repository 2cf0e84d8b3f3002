package forwarder

import (
	"sync"
	"sync/atomic"
)

// demand is the work that an entry has under way, by service. Agents read it
// from each offer and judge their share of the service's load by it.
type demand struct {
	byService sync.Map
}

// begin adds a call's work and returns the function that takes it off again.
func (demand *demand) begin(call call) func() {
	sum := demand.of(call.service)
	sum.Add(call.work)
	return func() { sum.Add(-call.work) }
}

func (demand *demand) of(service string) *atomic.Int64 {
	sum, _ := demand.byService.LoadOrStore(service, new(atomic.Int64))
	return sum.(*atomic.Int64) //nolint:forcetypeassert // Only of stores values.
}
