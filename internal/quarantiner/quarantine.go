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

// Quarantine quarantines a part, and reports whether that is news.
func (table *Table) Quarantine(quarantine Quarantine, now timekeeper.Instant) bool {
	part := quarantine.Feature
	if known, found := table.quarantined[part]; found && (known.Lapses >= quarantine.Lapses || table.isQuarantined(part, now)) {
		return false
	}
	if all := table.Quarantined(); len(all) >= MaxQuarantined {
		delete(table.quarantined, all[0].Feature)
	}
	table.quarantined[part] = quarantine
	if known, found := table.records[part]; found {
		delete(table.records, part)
		table.explain(known.incarnations, now)
	}
	return true
}

// Quarantined returns the quarantined parts and those whose quarantine has lapsed, the oldest one
// first.
func (table *Table) Quarantined() []Quarantine {
	all := make([]Quarantine, 0, len(table.quarantined))
	for _, quarantine := range table.quarantined {
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
	return found && now < quarantine.ends()
}
