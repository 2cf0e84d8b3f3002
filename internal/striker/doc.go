// Package striker limits the number of engines that a poison request can crash.
//
// The agent outlives its engine, so it knows which requests were in flight when
// the engine crashed. Each of them gets a strike, recorded by its fingerprint. A
// request with one strike runs only in isolation, as the sole request on an
// engine, so that a second crash identifies it as the cause. A request with two
// strikes is refused until they expire. A harmless request that shared an engine
// with a poison request has one strike; the strike is cleared when the isolated run
// of the request completes.
//
// The agent writes the second strike to the platform's table, by
// compare-and-set, before the isolated run, and removes it when the run
// completes. So every agent refuses the request when it is sent again, even if
// the agent that ran it was lost with its engine.
package striker
