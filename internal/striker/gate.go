package striker

// Gate lets many requests onto an engine together, or one alone. It decides;
// who waits is the caller's business.
//
// The load it is for: a busy engine that is never empty by itself. A request
// that must run alone closes the gate to newcomers and gets in when those
// inside have left. Only one may wait so: a second would hold the engine empty
// for as long as bad requests keep coming.
type Gate struct {
	inside  int
	alone   bool
	claimed string
}

// Enter reports whether a request may go onto the engine now.
func (gate *Gate) Enter(request string, alone bool) bool {
	switch {
	case gate.alone:
		return false
	case !alone:
		if gate.claimed != "" {
			return false
		}
		gate.inside++
		return true
	case gate.claimed != "" && gate.claimed != request:
		return false
	}
	gate.claimed = request
	if gate.inside > 0 {
		return false
	}
	gate.alone = true
	return true
}

// Busy reports whether another request waits to run alone or does so.
func (gate *Gate) Busy(request string) bool {
	return gate.claimed != "" && gate.claimed != request
}

// Leave notes that a request left the engine, or gave up waiting to be alone on it.
func (gate *Gate) Leave(request string, entered bool) {
	if gate.claimed == request {
		gate.claimed, gate.alone = "", false
		return
	}
	if entered {
		gate.inside--
	}
}
