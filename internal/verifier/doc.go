// Package verifier checks the fleet's record and reports for each promise
// whether it held.
//
// Verify checks the chains: each incarnation's records must be numbered without a
// hole and linked by their hashes, from Started to Stopped. Missing records are a
// gap if the chain declares them or the record ends without Stopped; otherwise they
// are a finding: records were changed, dropped or moved. The records of a segment
// with a finding are ignored and count as missing.
//
// Evaluate then gives one verdict for each promise from the verified records.
// Broken means that records contradict the promise. Held means that no record
// contradicts it and that no missing record could. Otherwise the verdict is not
// provable, and names the gap.
//
// A gap in an agent's record can hide only the calls that entries offered to that
// agent around that time: entries and agents record the same calls independently,
// so each record limits what the other can hide.
//
// Clocks of different processes may differ by Settings.ClockSkew. Within one
// incarnation the sequence numbers give the order, not the clock.
//
// Verify and Evaluate are pure functions; Fetch reads the store.
package verifier
