// Package striker keeps requests that crash engines from crashing them all.
//
// The agent outlives its engine, so it knows which requests were in flight at
// a crash. Each of them gets a strike, by its fingerprint. With one strike a
// request runs only in isolation, alone on an engine: should the engine crash
// again, there is one suspect. With two it is refused until an expiry. An
// innocent request that shared an engine with a bad one has one strike, runs
// alone once, ends whole, and is cleared.
//
// Before an isolated run the second strike is written to the platform's table,
// by compare-and-set, and taken back when the run ends whole. So a request
// that is sent again through any entry to any agent meets its second strike
// there, even if the agent that ran it was lost with its engine.
package striker
