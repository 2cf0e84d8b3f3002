// Package loader reads the settings of one process: its name, its site, the
// addresses it listens on and those of the platform.
//
// Settings are TOML with kebab-case keys. Everything wrong in a file is
// reported at once, with file, line, reason and remedy: unknown keys, values of
// the wrong shape, what is missing, and what clashes, such as two listeners at
// one address. A key that is missing is reported at line 1.
package loader
