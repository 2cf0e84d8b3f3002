// Package resolver holds the configuration that operators write, one base file
// with an overlay for each site, and resolves the two into what is in force at
// a site.
//
// A Config is an immutable value. It is read from TOML with kebab-case keys;
// unknown keys, bad values and clashes are faults, and all of them are
// reported at once.
package resolver
