// Package loader reads the settings of one process: its name, its site, the
// addresses it listens on and those of the platform.
//
// Settings are TOML with kebab-case keys. Everything wrong in a file is
// reported at once, with file, line and reason.
package loader
