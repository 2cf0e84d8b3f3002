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
	// requestLifetime is how long a request is quarantined for the first time, after crashes that may have
	// had another cause. Once a trial has failed, its quarantines last as long as those of a part, so
	// a request crashes at most three more replicas a day.
	requestLifetime = timekeeper.Minute
	// maxLapses bounds the growth.
	maxLapses = 3
	// mergeSlack is how much later one of two statements about a part must be to replace the other. Their
	// instants come from ages in messages.
	mergeSlack = timekeeper.Second
	// liftMemory is how long it is remembered that an operator lifted a quarantine.
	liftMemory = 24 * timekeeper.Hour
	// MaxQuarantined bounds the quarantined features of each kind. Beyond it the oldest one is released.
	MaxQuarantined = 64
	// lapsedMemory is how long a request whose quarantine has lapsed is remembered.
	lapsedMemory = 24 * timekeeper.Hour
)

// Quarantine is a part of prompts, or a request, that crashes replicas: it isn't sent.
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
	span, lapses := firstLifetime, quarantine.Lapses
	if quarantine.Feature.Kind == Request {
		if lapses == 0 {
			return quarantine.Since.Add(requestLifetime)
		}
		lapses--
	}
	for range min(lapses, maxLapses) {
		span *= lifetimeGrowth
	}
	return quarantine.Since.Add(span)
}

// Quarantine quarantines a feature, or lifts its quarantine, and reports whether that was not known.
func (table *Table) Quarantine(quarantine Quarantine, now timekeeper.Instant) bool {
	part := quarantine.Feature
	if known, found := table.quarantined[part]; found && !known.replacedBy(quarantine, now) {
		return false
	}
	if quarantine.isOutdated(now) {
		return false
	}
	same := slices.DeleteFunc(table.Quarantined(now), func(other Quarantine) bool { return other.Feature.Kind != part.Kind })
	if len(same) >= MaxQuarantined {
		delete(table.quarantined, same[0].Feature)
	}
	table.quarantined[part] = quarantine
	known, found := table.records[part]
	delete(table.records, part)
	if found && !quarantine.Lifted {
		table.explain(part.Kind, known.incarnations, now)
	}
	return true
}

// isOutdated reports whether a quarantine need not be remembered any longer.
func (quarantine Quarantine) isOutdated(now timekeeper.Instant) bool {
	if quarantine.Lifted {
		return now.Since(quarantine.Since) > liftMemory
	}
	return quarantine.Feature.Kind == Request && now.Since(quarantine.ends()) > lapsedMemory
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

// Quarantined returns the quarantined features, those whose quarantine has lapsed, and those of which it was
// lifted, the oldest one first.
func (table *Table) Quarantined(now timekeeper.Instant) []Quarantine {
	all := make([]Quarantine, 0, len(table.quarantined))
	for part, quarantine := range table.quarantined {
		if quarantine.isOutdated(now) {
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
