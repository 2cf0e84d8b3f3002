package sequencer

import (
	"cmp"
	"strconv"
)

// Version identifies a state of the store. The zero value precedes all others.
type Version struct {
	// Era counts how often the store has come back from a copy. Zero means that the store or
	// the sender of the version does not count eras.
	Era uint64
	// Number counts the changes of the store.
	Number uint64
}

// Compare returns a negative number if the version is older than another, zero if they are
// equal, and a positive number if it is newer.
func (version Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(version.Era, other.Era), cmp.Compare(version.Number, other.Number))
}

// Before reports whether the version is older than another.
func (version Version) Before(other Version) bool { return version.Compare(other) < 0 }

// IsZero reports whether the version is the zero value.
func (version Version) IsZero() bool { return version == Version{} }

// InEra returns the version as of an era, if it has none.
func (version Version) InEra(era uint64) Version {
	if version.Era == 0 {
		version.Era = era
	}
	return version
}

// String returns era and number, separated by a point, or the number alone if there is no era.
func (version Version) String() string {
	number := strconv.FormatUint(version.Number, 10)
	if version.Era == 0 {
		return number
	}
	return strconv.FormatUint(version.Era, 10) + "." + number
}

// Max returns the newer of two versions.
func Max(one, other Version) Version {
	if one.Before(other) {
		return other
	}
	return one
}
