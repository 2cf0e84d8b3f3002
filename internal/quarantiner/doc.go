// Package quarantiner decides which requests are kept from replicas because of what they share
// with requests that were in flight when replicas crashed.
//
// A request has features: its fingerprint and the parts of its prompt. A feature that crashes
// replicas has three properties which others lack. Each crash of a new incarnation has it in
// flight, no answer on it ever survives, and other crashes are explained without it. A Table
// counts crashes by incarnation since the last survival, in four steps:
//
//   - A feature with some crashes is suspected. Requests with it are held back, but for one trial
//     over the fleet at a time. Ranks of the entries, which a hash gives for each feature, say who
//     may begin it first.
//   - A trial that survives clears the feature. Whatever else crashed replicas, such as a rack
//     without power, costs a part that is new to the fleet this one round.
//   - A trial that crashes its replica quarantines the feature, unless another one that was in
//     flight there explains more crashes.
//   - A quarantined feature explains all crashes that it was in flight at. Features that only came
//     along lose them.
//
// A whole request that comes again is quarantined for its crashes at once, for a short while, and a trial
// follows. A crash also counts against requests whose runs at the replica have just ended: Runs holds those.
//
// Table does no I/O and has no clock. Its callers tell the other entries what it returns.
//
// This is group testing with one defective item, where a test is expensive and most are already
// answered by traffic: R. Dorfman, "The detection of defective members of large populations",
// Annals of Mathematical Statistics 14 (1943).
package quarantiner
