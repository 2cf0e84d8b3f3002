// Package timekeeper provides the time types and clocks of trefoilseam.
//
// Every Instant and every Span is a whole number of milliseconds, so a field of either
// type needs no unit in its name. A Clock is a concrete value with function fields:
// Wall reads the machine's clock, and a Manual clock advances only when a test
// advances it. Decision logic takes an Instant as an argument and never reads a clock
// itself.
package timekeeper
