package balancer

import "github.com/trefoilseam/trefoilseam/pkg/timekeeper"

const (
	// excessWeight is the weight of one request in the average: about five requests show that a
	// replica has become slow.
	excessWeight = 0.25
	// excessHalfLife is the half-life of the average without new requests, so that a slow
	// replica, which gets little work, is tried again.
	excessHalfLife = 3 * timekeeper.Second
	// excessTolerance is how far a replica may exceed its service without a penalty, in
	// milliseconds. Normal processing times differ by that much.
	excessTolerance = 20.0
	// maxExcess limits the effect of one request, in milliseconds, so that a single long
	// request doesn't take a replica out.
	maxExcess = 1000.0
)

// excessLatency is the moving average of how much later than expected answers start. It is
// compared with that of the whole service to find one slow replica among equals: a delay that
// all replicas share counts against none.
type excessLatency struct {
	excess decaying
}

func (excessLatency *excessLatency) observe(excess float64, now timekeeper.Instant) {
	observed := min(max(excess, -maxExcess), maxExcess)
	excessLatency.excess.set((1-excessWeight)*excessLatency.excess.now(excessHalfLife, now)+excessWeight*observed, now)
}

// above returns how far a replica's excess latency exceeds that of its service, in
// milliseconds.
func (excessLatency *excessLatency) above(service *excessLatency, now timekeeper.Instant) float64 {
	typical := max(0, service.excess.now(excessHalfLife, now))
	return max(0, excessLatency.excess.now(excessHalfLife, now)-typical-excessTolerance)
}
