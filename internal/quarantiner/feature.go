package quarantiner

import "strconv"

// Kind is what a feature is about.
type Kind uint8

const (
	// Request is a fingerprint that the retries of one request share.
	Request Kind = iota + 1
	// Part is a part of prompts.
	Part
)

// String returns the kind's name in logs, metrics and the store.
func (kind Kind) String() string { return [...]string{"", "request", "part"}[kind] }

// Feature is a property that requests share. The zero value is no feature.
type Feature struct {
	Kind Kind
	ID   uint64
}

// String returns the kind and, in hexadecimal digits, the ID.
func (feature Feature) String() string {
	return feature.Kind.String() + "-" + strconv.FormatUint(feature.ID, 16)
}
