// Package recorder keeps the fleet's own record, from which a regulator can
// check that each promise held.
//
// Each process writes events in sequence. Contents of calls never stand in the
// record, only their hashes.
package recorder
