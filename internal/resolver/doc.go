// Package resolver reads the operators' configuration, a base file and an
// overlay for each site, and resolves it into the configuration in force at a site.
//
// A file is read into a Document: a flat list of values, each with its file and
// line. Resolving a site applies the values of its overlay to those of the base.
// The result is decoded into a Config, an immutable value, and can be rendered as
// TOML with the origin of each value in a comment.
//
// Values are checked one by one against the types of Config, because the TOML
// decoder stops at the first bad value and ignores the case of keys. This way all
// faults are reported at once, each with its file, its line and a remedy.
package resolver
