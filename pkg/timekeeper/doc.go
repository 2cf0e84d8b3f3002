// Package timekeeper holds the one notion of time that trefoilseam uses.
//
// Every instant and every span is a whole number of milliseconds, so a field
// of either type needs no unit in its name. A Clock is a concrete value with
// function fields: Wall reads the machine's clock, and a Manual clock moves
// only when a test advances it. Decision logic takes an Instant as an
// argument and never asks a clock itself.
package timekeeper
