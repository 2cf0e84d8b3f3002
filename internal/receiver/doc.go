// Package receiver reads bodies of requests within a bound on the memory of all of them together.
//
// Memory is taken before it is read into. A body counts as long or short by its length: long ones may
// take a part of the memory only, so that they can't keep out short ones, and must arrive at a pace, so
// that a sender which announces one and then stops doesn't keep out others.
package receiver
