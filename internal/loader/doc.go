// Package loader reads the settings file of a process: its name, its site, the
// addresses it listens on and the address of the platform.
//
// Settings are TOML with kebab-case keys. All faults of a file are reported at
// once, with file, line, reason and remedy: unknown keys, values of the wrong
// type, missing keys, and conflicts such as two listeners at one address. A
// missing key is reported at line 1.
package loader
