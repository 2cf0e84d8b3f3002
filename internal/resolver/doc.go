// Package resolver holds the configuration that operators write, one base file
// with an overlay for each site, and resolves the two into what is in force at
// a site.
//
// A file is read into a Document: a flat list of values, each with the file
// and line it was written at. To resolve a site is to lay the overlay's values
// over the base's; the result is rendered as TOML, with the origin of each
// value behind it, and decoded into a Config, an immutable value.
//
// Values are checked one by one against the types of Config, because a decoder
// stops at the first bad value and takes keys in any case. So all faults are
// reported at once, each with its place and a remedy.
package resolver
