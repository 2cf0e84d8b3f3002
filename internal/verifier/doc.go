// Package verifier checks the fleet's record and says, promise by promise,
// whether it held.
//
// Verify checks the chains themselves: each incarnation's records must be
// numbered without a hole and linked by their hashes, from Started to Stopped.
// What is missing is either declared by the chain, and then a gap, or it is a
// finding: somebody changed, dropped or moved records. Records of a segment
// with a finding are not believed; they count as missing.
//
// Judge then reads the records that stand and gives one verdict for each
// promise. Broken needs records that contradict the promise. Held needs that
// no record contradicts it and that nothing is missing which could. Between
// the two the verdict is not provable, and names the gap.
//
// A gap in an agent's record hides only what entries offered to that agent
// around it: entries and agents write about the same calls independently, so
// one record bounds what the other may hide.
//
// Clocks of different processes may disagree by Settings.Skew. Within one
// incarnation the sequence decides, not the clock.
//
// Verify and Judge are pure functions; Fetch reads the store.
package verifier
