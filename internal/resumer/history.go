package resumer

import (
	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// maxListAge is the age from which a list of replicas says nothing about what other entries may see.
// Readers of the store confirm the lists of all once a second.
const maxListAge = 3 * timekeeper.Second

// History is what an entry has seen of the software versions of each service. It must be made by
// NewHistory. It is not safe for concurrent use.
type History struct {
	complete bool
	began    timekeeper.Instant
	services map[string]sighting
	// recalled is what earlier entries had seen by the time this one started.
	recalled map[string]sighting
	// confirmed is when the list was last known to be up to date; zero means never.
	confirmed timekeeper.Instant
	// interrupted is when this process last went on after it had stood still.
	interrupted timekeeper.Instant
}

// sighting is the only version of a service that has been listed since an instant; the version is
// "" while several are listed, or one that isn't known.
type sighting struct {
	version string
	since   timekeeper.Instant
}

// NewHistory returns a history without services. complete says that no stream began before the
// first list was observed, as on a new site.
func NewHistory(complete bool) *History {
	return &History{complete: complete, services: map[string]sighting{}, recalled: map[string]sighting{}}
}

// Observe records the replicas that are listed now, leaving ones included.
func (history *History) Observe(list []balancer.Replica, now timekeeper.Instant) {
	if history.began == 0 {
		history.began = now
		if history.complete {
			history.began = now.Add(-HistorySpan)
		}
	}
	listed := map[string]string{}
	for _, row := range list {
		version, found := listed[row.Service]
		if found && version != row.SoftwareVersion {
			listed[row.Service] = ""
			continue
		}
		listed[row.Service] = row.SoftwareVersion
	}
	for service, version := range listed {
		earlier, found := history.services[service]
		switch {
		case !found:
			history.services[service] = sighting{version: version, since: history.began}
			history.extend(service)
		case earlier.version != version:
			history.services[service] = sighting{version: version, since: now}
		}
	}
}

// Recall adds what earlier entries had seen of a service: its only version since an instant. It
// counts if this entry has seen no other version since it started.
func (history *History) Recall(service, version string, since timekeeper.Instant) {
	history.recalled[service] = sighting{version: version, since: since}
	history.extend(service)
}

// extend lets the history of a service begin where the one of earlier entries did.
func (history *History) extend(service string) {
	seen, earlier := history.services[service], history.recalled[service]
	if earlier.version != "" && earlier.version == seen.version && seen.since == history.began {
		seen.since = min(seen.since, earlier.since)
		history.services[service] = seen
	}
}

// Interrupt records that this process stood still until an instant, for longer than its clock may show.
// What it knows of the list says nothing until the list is confirmed.
func (history *History) Interrupt(at timekeeper.Instant) { history.interrupted = at }

// isFresh reports whether the list is up to date.
func (history *History) isFresh(now timekeeper.Instant) bool {
	return history.confirmed > history.interrupted && now.Since(history.confirmed) <= maxListAge
}

// Confirm records that the list was up to date at an instant. After a gap the history begins anew: a
// version may have been listed and removed meanwhile.
func (history *History) Confirm(at timekeeper.Instant) {
	if at <= max(history.confirmed, history.interrupted) {
		return
	}
	if history.confirmed != 0 && (at.Since(history.confirmed) > maxListAge || history.confirmed <= history.interrupted) {
		history.began = at
		clear(history.recalled)
		for service, seen := range history.services {
			history.services[service] = sighting{version: seen.version, since: at}
		}
	}
	history.confirmed = at
}

// Sighting is what has been seen of one service.
type Sighting struct {
	Service string
	// Several reports that several versions are listed; otherwise Only is the version, since an
	// instant.
	Several bool
	Only    string
	Since   timekeeper.Instant
}

// Sightings returns what has been seen of each service; nothing while the list isn't up to date.
func (history *History) Sightings(now timekeeper.Instant) []Sighting {
	if !history.isFresh(now) {
		return nil
	}
	sightings := make([]Sighting, 0, len(history.services))
	for service, seen := range history.services {
		sightings = append(sightings, Sighting{Service: service, Several: seen.version == "", Only: seen.version, Since: seen.since})
	}
	return sightings
}

// VersionsOf returns what has been seen of a service.
func (history *History) VersionsOf(service string, now timekeeper.Instant) Versions {
	seen, found := history.services[service]
	switch {
	case !found:
		return Versions{}
	case seen.version == "":
		return Versions{Several: true}
	case !history.isFresh(now):
		return Versions{}
	}
	return Versions{Only: seen.version, For: min(now.Since(seen.since), HistorySpan)}
}
