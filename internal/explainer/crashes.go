package explainer

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Names of the lines and fields that say what was in flight at crashes.
const (
	messageFailed      = "attempt failed"
	messageStruck      = "request struck"
	messageQuarantined = "part quarantined, it crashes replicas"
	fieldParts         = "parts"
	fieldPart          = "part"
	fieldIncarnation   = "incarnation"
)

const (
	// countedCrashes is the number of crashes after which entries must know of a part, allowedLate how
	// many attempts with it may break off at replicas later than knownWithin after the last of them.
	countedCrashes = 5
	allowedLate    = 3
	knownWithin    = 3 * time.Second
	// maxCandidates bounds the parts in a report that are not quarantined.
	maxCandidates = 10
)

// CrashReport says which parts of prompts were in flight at crashes of replicas, and whether those that
// are quarantined were kept from replicas.
type CrashReport struct {
	// Parts are those that are quarantined, and the others that were in flight at most crashes.
	Parts []CrashedPart
	// Skipped is the number of lines that could not be parsed.
	Skipped int
}

// CrashedPart is a part that was in flight at crashes.
type CrashedPart struct {
	// ID is as the caller wrote it.
	ID string
	// Crashes are when each replica crashed that had it in flight, in order.
	Crashes []time.Time
	// QuarantinedAt is when the first process quarantined it; zero means that none did.
	QuarantinedAt time.Time
	// Late are the attempts that broke off later than entries must know of the part.
	Late []Line
}

// Held reports whether few enough attempts came late, if the part is quarantined.
func (part CrashedPart) Held() bool {
	return part.QuarantinedAt.IsZero() || len(part.Late) <= allowedLate
}

// crashEvents is what logs say of parts: when each incarnation crashed with a part in flight, when a part
// was first quarantined, and which attempts with it broke off.
type crashEvents struct {
	crashes     map[string]map[string]time.Time
	quarantined map[string]time.Time
	broken      map[string][]Line
}

// add adds a line.
func (events crashEvents) add(line Line) {
	switch part := line.field(fieldPart); {
	case line.Message == messageStruck && part != "":
		events.crashesOf(part)[line.field(fieldIncarnation)] = earlier(events.crashesOf(part)[line.field(fieldIncarnation)], line.At)
	case line.Message == messageQuarantined:
		events.crashesOf(part)
		events.quarantined[part] = earlier(events.quarantined[part], line.At)
	case line.Message == messageFailed && line.field(fieldParts) != "":
		for id := range strings.SplitSeq(line.field(fieldParts), ",") {
			events.broken[id] = append(events.broken[id], line)
		}
	}
}

func (events crashEvents) crashesOf(part string) map[string]time.Time {
	if events.crashes[part] == nil {
		events.crashes[part] = map[string]time.Time{}
	}
	return events.crashes[part]
}

// earlier returns the earlier of two times; zero for the first means that it isn't known.
func earlier(known, at time.Time) time.Time {
	if known.IsZero() || at.Before(known) {
		return at
	}
	return known
}

// CheckCrashes finds parts that were in flight at crashes in logs.
func CheckCrashes(logs ...io.Reader) (CrashReport, error) {
	var report CrashReport
	events := crashEvents{crashes: map[string]map[string]time.Time{}, quarantined: map[string]time.Time{}, broken: map[string][]Line{}}
	for _, log := range logs {
		lines := bufio.NewScanner(log)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			line, ok := parse(lines.Bytes())
			if !ok {
				report.Skipped++
				continue
			}
			events.add(line)
		}
		if err := lines.Err(); err != nil {
			return report, eris.Wrap(err, "log")
		}
	}
	for part, crashes := range events.crashes {
		report.Parts = append(report.Parts, newCrashedPart(part, crashes, events.quarantined[part], events.broken[part]))
	}
	report.keepMost()
	return report, nil
}

func newCrashedPart(id string, crashes map[string]time.Time, quarantinedAt time.Time, broken []Line) CrashedPart {
	part := CrashedPart{ID: id, QuarantinedAt: quarantinedAt}
	for _, at := range crashes {
		part.Crashes = append(part.Crashes, at)
	}
	slices.SortFunc(part.Crashes, time.Time.Compare)
	if len(part.Crashes) < countedCrashes {
		return part
	}
	known := part.Crashes[countedCrashes-1].Add(knownWithin)
	for _, line := range broken {
		if line.At.After(known) {
			part.Late = append(part.Late, line)
		}
	}
	return part
}

// keepMost sorts the parts, quarantined ones first, then by crashes, and drops those of the others that
// had the fewest.
func (report *CrashReport) keepMost() {
	slices.SortFunc(report.Parts, func(a, b CrashedPart) int {
		if open := a.QuarantinedAt.IsZero(); open != b.QuarantinedAt.IsZero() {
			return map[bool]int{true: 1, false: -1}[open]
		}
		if difference := len(b.Crashes) - len(a.Crashes); difference != 0 {
			return difference
		}
		return strings.Compare(a.ID, b.ID)
	})
	candidates := 0
	report.Parts = slices.DeleteFunc(report.Parts, func(part CrashedPart) bool {
		if part.QuarantinedAt.IsZero() {
			candidates++
		}
		return candidates > maxCandidates
	})
}

// Held reports whether all quarantined parts were kept from replicas.
func (report CrashReport) Held() bool {
	return !slices.ContainsFunc(report.Parts, func(part CrashedPart) bool { return !part.Held() })
}

// Write prints the report as text, a line for each part.
func (report CrashReport) Write(out io.Writer) error {
	var text strings.Builder
	for _, part := range report.Parts {
		fmt.Fprintf(&text, "part %s: in flight at %d crashes", part.ID, len(part.Crashes))
		if part.QuarantinedAt.IsZero() {
			fmt.Fprintln(&text, ", not quarantined")
			continue
		}
		fmt.Fprintf(&text, ", quarantined at %s, %d attempts broke off late", part.QuarantinedAt.Format("15:04:05.000"), len(part.Late))
		for _, line := range part.Late {
			fmt.Fprintf(&text, "; %s %s at %s", line.At.Format("15:04:05.000"), line.Request, line.Replica)
		}
		fmt.Fprintln(&text)
	}
	_, err := io.WriteString(out, text.String())
	return err
}
