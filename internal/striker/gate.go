package striker

// Gate admits to an engine either several requests or one isolated request.
// Callers implement the waiting.
//
// A busy engine never becomes idle by itself, so a request that must be isolated
// blocks new requests and enters when the running ones have left. Only one
// request may block the gate at a time. If a second could, the engine would stay
// idle for as long as poison requests keep arriving.
type Gate struct {
	running int
	// isolated means that the exclusive request runs.
	isolated bool
	// exclusive is the request that runs in isolation or waits for it.
	exclusive string
}

// Enter reports whether a request may run on the engine now. An isolated request
// that has to wait for running requests blocks all others until its Leave.
func (gate *Gate) Enter(request string, isolated bool) bool {
	switch {
	case gate.isolated:
		return false
	case !isolated:
		if gate.exclusive != "" {
			return false
		}
		gate.running++
		return true
	case gate.exclusive != "" && gate.exclusive != request:
		return false
	}
	gate.exclusive = request
	if gate.running > 0 {
		return false
	}
	gate.isolated = true
	return true
}

// Busy reports whether another request runs in isolation or waits for it.
func (gate *Gate) Busy(request string) bool {
	return gate.exclusive != "" && gate.exclusive != request
}

// Leave records that a request left the engine or stopped waiting for isolation.
// entered is the request's last result of Enter.
func (gate *Gate) Leave(request string, entered bool) {
	if gate.exclusive == request {
		gate.exclusive, gate.isolated = "", false
		return
	}
	if entered {
		gate.running--
	}
}
