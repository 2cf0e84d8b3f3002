package quarantiner

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// firstLifetime is how long a part is quarantined for the first time. It is then suspected, and
	// if a trial fails quarantined for lifetimeGrowth times as long. Within a day this makes three
	// trials.
	firstLifetime  = timekeeper.Hour
	lifetimeGrowth = 4
	// maxLapses bounds the growth.
	maxLapses = 3
	// mergeSlack is how much later one of two statements about a part must be to replace the other. Their
	// instants come from ages in messages.
	mergeSlack = timekeeper.Second
	// liftMemory is how long it is remembered that an operator lifted a quarantine.
	liftMemory = 24 * timekeeper.Hour
	// MaxQuarantined bounds the quarantined parts. Beyond it the oldest one is released.
	MaxQuarantined = 64
)

// Quarantine is a part of prompts that crashes replicas: no request with it is sent.
type Quarantine struct {
	Feature Feature
	// Since is when it was quarantined, by the clock of this entry.
	Since timekeeper.Instant
	// Lapses is how often a quarantine of the part lapsed before.
	Lapses int
	// Lifted reports that an operator has lifted the quarantine, at Since.
	Lifted bool
	// Incarnations are those that crashed with the part in flight; nil if another entry found out.
	Incarnations []string
}

// ends returns when the quarantine lapses.
func (quarantine Quarantine) ends() timekeeper.Instant {
	span := firstLifetime
	for range min(quarantine.Lapses, maxLapses) {
		span *= lifetimeGrowth
	}
	return quarantine.Since.Add(span)
}

// Quarantine quarantines a part, or lifts its quarantine, and reports whether that was not known.
func (table *Table) Quarantine(quarantine Quarantine, now timekeeper.Instant) bool {
	part := quarantine.Feature
	if known, found := table.quarantined[part]; found && !known.replacedBy(quarantine, now) {
		return false
	}
	if all := table.Quarantined(now); len(all) >= MaxQuarantined {
		delete(table.quarantined, all[0].Feature)
	}
	table.quarantined[part] = quarantine
	known, found := table.records[part]
	delete(table.records, part)
	if found && !quarantine.Lifted {
		table.explain(known.incarnations, now)
	}
	return true
}

// replacedBy reports whether another statement about the same part is a later one.
func (quarantine Quarantine) replacedBy(other Quarantine, now timekeeper.Instant) bool {
	if quarantine.Lifted != other.Lifted {
		return other.Since > quarantine.Since.Add(mergeSlack)
	}
	return other.Lapses > quarantine.Lapses && now >= quarantine.ends()
}

// Lift ends the quarantine of a part, and reports whether there was one, or a suspicion. Crashes count
// anew.
func (table *Table) Lift(part Feature, now timekeeper.Instant) bool {
	quarantine, found := table.quarantined[part]
	_, struck := table.records[part]
	if found && !quarantine.Lifted || struck {
		table.quarantined[part] = Quarantine{Feature: part, Since: now, Lifted: true}
		delete(table.records, part)
		return true
	}
	return false
}

// Quarantined returns the quarantined parts, those whose quarantine has lapsed, and those of which it was
// lifted, the oldest one first.
func (table *Table) Quarantined(now timekeeper.Instant) []Quarantine {
	all := make([]Quarantine, 0, len(table.quarantined))
	for part, quarantine := range table.quarantined {
		if quarantine.Lifted && now.Since(quarantine.Since) > liftMemory {
			delete(table.quarantined, part)
			continue
		}
		all = append(all, quarantine)
	}
	slices.SortFunc(all, func(a, b Quarantine) int {
		return cmp.Or(cmp.Compare(a.Since, b.Since), cmp.Compare(a.Feature.ID, b.Feature.ID))
	})
	return all
}

// isQuarantined reports whether a feature is quarantined and that has not lapsed.
func (table *Table) isQuarantined(feature Feature, now timekeeper.Instant) bool {
	quarantine, found := table.quarantined[feature]
	return found && !quarantine.Lifted && now < quarantine.ends()
}

// hasLapsed reports whether the quarantine of a part has lapsed.
func (table *Table) hasLapsed(part Feature, now timekeeper.Instant) bool {
	quarantine, found := table.quarantined[part]
	return found && !quarantine.Lifted && now >= quarantine.ends()
}
