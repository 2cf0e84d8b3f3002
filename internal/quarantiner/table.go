package quarantiner

import (
	"maps"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// suspectParts is the number of crashes since the last survival from which a part is suspected.
	suspectParts = 3
	// suspectKnown is the number for a part that has survived in survivalMemory, and survivalGap how
	// long ago that must be: parts that most requests share are in flight at every crash.
	suspectKnown = 5
	survivalGap  = timekeeper.Second
	// refuseRequests is the number of crashes from which a request is refused.
	refuseRequests = 2
	// refuseKnown is the number for a request that replicas have outlived in survivalMemory.
	refuseKnown = 5
	// repeatLimit is the number of crashes from which a request that broke off isn't tried again.
	repeatLimit = 2
	// recordLifetime is how long crashes count for a part, requestMemory how long for a request, and
	// explainedLifetime how long it is remembered that a quarantined feature explains one.
	recordLifetime    = timekeeper.Hour
	requestMemory     = 24 * timekeeper.Hour
	explainedLifetime = 10 * timekeeper.Minute
	// maxRecords bounds the records, and maxExplained the crashes that are explained, or whose time is known.
	maxRecords   = 4096
	maxExplained = 1024
	// commonSpan is the time within which crashes may have a common cause, such as a rack without power,
	// and commonCrashes how many others make that likely.
	commonSpan    = 400 * timekeeper.Millisecond
	commonCrashes = 2
)

// Table is an entry's knowledge of crashes and features.
type Table struct {
	records   map[Feature]*record
	survivals survivals
	// requests are the survivals of whole requests.
	requests    survivals
	quarantined map[Feature]Quarantine
	// explained holds the incarnations that crashed with a quarantined feature in flight.
	explained map[string]timekeeper.Instant
	// crashedAt is when the table learnt of recent crashes, by incarnation.
	crashedAt map[string]timekeeper.Instant
}

// New returns a table that knows of no crash.
func New() *Table {
	return &Table{
		records: map[Feature]*record{}, quarantined: map[Feature]Quarantine{}, explained: map[string]timekeeper.Instant{},
		crashedAt: map[string]timekeeper.Instant{},
	}
}

// Crash records that an incarnation of a replica crashed while an answer on each of the features was
// due, and returns the features for which that was not known.
func (table *Table) Crash(incarnation string, inFlight []Feature, now timekeeper.Instant) (struck []Feature) {
	table.recordTime(incarnation, now)
	explained := map[Kind]bool{}
	for _, feature := range inFlight {
		if table.isQuarantined(feature, now) {
			table.explain(feature.Kind, []string{incarnation}, now)
			explained[feature.Kind] = true
		}
	}
	if _, explained := table.explained[incarnation]; explained {
		return nil
	}
	for _, feature := range inFlight {
		if feature.Kind == Request && explained[Request] {
			continue
		}
		known := table.recordOf(feature, now)
		if known.strike(incarnation, now) {
			struck = append(struck, feature)
			known.suspect(table.isSuspicious(feature), now)
		}
	}
	return struck
}

// recordTime records when the table learnt of a crash.
func (table *Table) recordTime(incarnation string, now timekeeper.Instant) {
	if _, found := table.crashedAt[incarnation]; found {
		return
	}
	if len(table.crashedAt) >= maxExplained {
		maps.DeleteFunc(table.crashedAt, func(_ string, at timekeeper.Instant) bool { return now.Since(at) > commonSpan })
	}
	if len(table.crashedAt) < maxExplained {
		table.crashedAt[incarnation] = now
	}
}

// isCommon reports whether the crash of an incarnation came with others to which a feature's record doesn't
// belong, so that it has another cause.
func (table *Table) isCommon(incarnation string, known *record) bool {
	at, found := table.crashedAt[incarnation]
	others := 0
	for other, otherAt := range table.crashedAt {
		if found && max(at.Since(otherAt), otherAt.Since(at)) <= commonSpan && !slices.Contains(known.incarnations, other) {
			others++
		}
	}
	return others >= commonCrashes
}

// ConcludeCrash quarantines the requests that were at a crash, and at as many as make them refused, or at one
// after their quarantine had lapsed. It returns those. A crash that came with others doesn't count. It is
// called once entries have told each other of the crashes.
func (table *Table) ConcludeCrash(incarnation string, now timekeeper.Instant) (convicted []Quarantine) {
	for request, known := range table.records {
		if request.Kind != Request || !slices.Contains(known.incarnations, incarnation) {
			continue
		}
		if table.isCommon(incarnation, known) {
			known.remove([]string{incarnation})
			continue
		}
		lapsed := table.hasLapsed(request, now)
		if !lapsed && len(known.incarnations) < table.refuseFrom(request) {
			continue
		}
		quarantine := Quarantine{Feature: request, Since: now, Incarnations: slices.Clone(known.incarnations)}
		if lapsed {
			quarantine.Lapses = table.quarantined[request].Lapses + 1
		}
		convicted = append(convicted, quarantine)
	}
	for _, quarantine := range convicted {
		table.Quarantine(quarantine, now)
	}
	return convicted
}

// lifetime is how long the crashes of a feature count.
func (feature Feature) lifetime() timekeeper.Span {
	if feature.Kind == Request {
		return requestMemory
	}
	return recordLifetime
}

// recordOf returns the record of a feature, and creates it where there is none.
func (table *Table) recordOf(feature Feature, now timekeeper.Instant) *record {
	if known, found := table.records[feature]; found && now.Since(known.struckAt) <= feature.lifetime() {
		return known
	}
	if len(table.records) >= maxRecords {
		table.evict()
	}
	created := &record{struckAt: now}
	table.records[feature] = created
	return created
}

// evict removes the record with the fewest crashes, the oldest of those.
func (table *Table) evict() {
	var least Feature
	for feature, known := range table.records {
		other, found := table.records[least]
		if !found || len(known.incarnations) < len(other.incarnations) ||
			len(known.incarnations) == len(other.incarnations) && known.struckAt < other.struckAt {
			least = feature
		}
	}
	delete(table.records, least)
}

// excess returns by how many crashes a part is beyond those from which it is suspected.
func (table *Table) excess(part Feature) int {
	needed := suspectParts
	if table.hasSurvived(part) {
		needed = suspectKnown
	}
	return len(table.records[part].incarnations) - needed
}

// isSuspicious reports whether a feature with a record is a part with as many crashes as make it
// suspected.
func (table *Table) isSuspicious(feature Feature) bool {
	return feature.Kind == Part && table.excess(feature) >= 0
}

// hasSurvived reports whether an answer on a part is known to have survived.
func (table *Table) hasSurvived(part Feature) bool {
	_, survived := table.survivals.last(part)
	return survived
}

// Survive records that answers on the features survived. It returns the features whose crashes no longer
// count, and whether one of them was suspected or quarantined.
func (table *Table) Survive(features []Feature, now timekeeper.Instant) (cleared []Feature, suspected bool) {
	for _, feature := range features {
		if feature.Kind == Request {
			wasQuarantined, wasStruck := table.surviveRequest(feature, now)
			if wasQuarantined || wasStruck {
				cleared = append(cleared, feature)
			}
			suspected = suspected || wasQuarantined
			continue
		}
		table.survivals.add(feature, now)
		lapsed := table.hasLapsed(feature, now)
		known, found := table.records[feature]
		if found || lapsed {
			cleared = append(cleared, feature)
			suspected = suspected || lapsed || known.suspectedAt != 0
		}
		delete(table.records, feature)
		if lapsed {
			delete(table.quarantined, feature)
		}
	}
	return cleared, suspected
}

// surviveRequest records that a replica has outlived a request, and reports whether it was quarantined, and whether
// it had been in flight at crashes. Its quarantine counts as lifted, so that those of other entries don't
// bring it back.
func (table *Table) surviveRequest(request Feature, now timekeeper.Instant) (wasQuarantined, wasStruck bool) {
	table.requests.add(request, now)
	_, wasStruck = table.records[request]
	delete(table.records, request)
	if quarantine, found := table.quarantined[request]; found && !quarantine.Lifted {
		table.quarantined[request] = Quarantine{Feature: request, Since: now, Lifted: true}
		wasQuarantined = true
	}
	return wasQuarantined, wasStruck
}

// isRefused reports whether a request is refused for the crashes that it was in flight at.
func (table *Table) isRefused(request Feature, now timekeeper.Instant) bool {
	known, found := table.records[request]
	return found && request.Kind == Request && len(known.incarnations) >= table.refuseFrom(request) && now.Since(known.struckAt) <= requestLifetime
}

// refuseFrom returns the number of crashes from which a request is refused.
func (table *Table) refuseFrom(request Feature) int {
	if _, survived := table.requests.last(request); survived {
		return refuseKnown
	}
	return refuseRequests
}

// HasCrashed reports whether replicas are known to have crashed because of a request, or may have.
func (table *Table) HasCrashed(request Feature) bool {
	_, struck := table.records[request]
	_, quarantined := table.quarantined[request]
	return struck || quarantined
}

// suspectedSince returns since when a feature is suspected, and whether it is. One whose quarantine has
// lapsed is.
func (table *Table) suspectedSince(part Feature, now timekeeper.Instant) (timekeeper.Instant, bool) {
	known, found := table.records[part]
	if quarantine, quarantined := table.quarantined[part]; quarantined && !quarantine.Lifted {
		since := quarantine.ends()
		if found {
			since = max(since, known.opensAt)
		}
		return since, now >= since
	}
	if !found || known.suspectedAt == 0 {
		return 0, false
	}
	since := known.opensAt
	if survivedAt, survived := table.survivals.last(part); survived {
		since = max(since, survivedAt.Add(survivalGap))
	}
	return since, now >= since
}

// MayRepeat reports whether a request that broke off may be tried again, as far as its features are
// concerned.
func (table *Table) MayRepeat(features []Feature, now timekeeper.Instant) bool {
	return !slices.ContainsFunc(features, func(feature Feature) bool {
		_, suspected := table.suspectedSince(feature, now)
		if suspected || table.isQuarantined(feature, now) || table.isRefused(feature, now) {
			return true
		}
		known, found := table.records[feature]
		return found && !table.hasSurvived(feature) && len(known.incarnations) >= repeatLimit
	})
}

// explain records that crashes have a known cause of a kind. A request explains them to other requests, but
// not to parts: one of its own may be what crashes replicas.
func (table *Table) explain(cause Kind, incarnations []string, now timekeeper.Instant) {
	if cause == Part {
		table.recordExplained(incarnations, now)
	}
	for feature, known := range table.records {
		if cause == Request && feature.Kind == Part {
			continue
		}
		known.remove(incarnations)
		known.suspect(table.isSuspicious(feature), now)
		if len(known.incarnations) == 0 {
			delete(table.records, feature)
		}
	}
}

func (table *Table) recordExplained(incarnations []string, now timekeeper.Instant) {
	for incarnation, at := range table.explained {
		if now.Since(at) > explainedLifetime || len(table.explained) >= maxExplained {
			delete(table.explained, incarnation)
		}
	}
	for _, incarnation := range incarnations {
		table.explained[incarnation] = now
	}
}
