package resolver

import (
	"bytes"

	"github.com/pelletier/go-toml/v2"
)

// Decode reads TOML into out and returns every unknown key and bad value of
// the file as Faults. It serves the settings of processes.
func Decode(file string, text []byte, out any) Faults {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return faultsOf(file, decoder.Decode(out))
}

// Parse reads a base file alone into a configuration.
func Parse(file string, text []byte) (Config, Faults) {
	sources := Sources{Base: Source{File: file, Text: text}}
	if faults := sources.Check(); len(faults) > 0 {
		return Config{}, faults
	}
	resolved, faults := sources.Resolve("")
	return resolved.Config, faults
}
