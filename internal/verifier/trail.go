package verifier

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"math"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Object is one object under the record's prefix.
type Object struct {
	Name string
	Body []byte
}

// Finding is a fault of the record: it was changed, or is not as a recorder writes it.
type Finding struct {
	Object   string `json:"object"`
	Sequence uint64 `json:"sequence,omitempty"`
	Reason   string `json:"reason"`
}

// String returns the finding as one line.
func (finding Finding) String() string {
	if finding.Sequence == 0 {
		return finding.Object + ": " + finding.Reason
	}
	return fmt.Sprintf("%s: record %d: %s", finding.Object, finding.Sequence, finding.Reason)
}

// never is the end of a gap that nothing closes. It leaves room to add a span
// without overflow.
const never = timekeeper.Instant(math.MaxInt64 / 2)

// Gap is a time range in which records of an incarnation are missing.
type Gap struct {
	Origin recorder.Origin    `json:"origin"`
	From   timekeeper.Instant `json:"from"`
	Until  timekeeper.Instant `json:"until"`
	Reason string             `json:"reason"`
	// Open says that the record ends without Stopped.
	Open bool `json:"open,omitempty"`
}

// String returns the gap as one line.
func (gap Gap) String() string {
	if gap.Until == never {
		return fmt.Sprintf("%s from %s on: %s", gap.Origin, gap.From, gap.Reason)
	}
	return fmt.Sprintf("%s from %s to %s: %s", gap.Origin, gap.From, gap.Until, gap.Reason)
}

// overlaps reports whether the gap reaches into a time range.
func (gap Gap) overlaps(from, until timekeeper.Instant) bool {
	return gap.From <= until && gap.Until >= from
}

// Incarnation is the record of one incarnation of a process.
type Incarnation struct {
	Origin  recorder.Origin
	Records []recorder.Record
	Gaps    []Gap
	// Stopped says that the last record is Stopped.
	Stopped bool
	// Link is the link after the last record that was verified.
	Link recorder.Link
}

// Trail is the verified record of all processes.
type Trail struct {
	Incarnations []Incarnation
	Findings     []Finding
	Segments     int
	Records      int
	// Bytes is the size of the segments in the store.
	Bytes int
}

// Verify checks the chains of all objects.
func Verify(objects []Object) Trail {
	var trail Trail
	chains := map[recorder.Origin]*chainReader{}
	var order []*chainReader
	sorted := slices.SortedFunc(slices.Values(objects), func(a, b Object) int { return cmp.Compare(a.Name, b.Name) })
	for i, object := range sorted {
		if i > 0 && sorted[i-1].Name == object.Name {
			trail.Findings = append(trail.Findings, Finding{Object: object.Name, Reason: "the object stands twice"})
			continue
		}
		trail.Segments++
		trail.Bytes += len(object.Body)
		origin, first, err := recorder.ParseObjectName(object.Name)
		if err != nil {
			trail.Findings = append(trail.Findings, Finding{Object: object.Name, Reason: "not the name of a segment"})
			continue
		}
		chain := chains[origin]
		if chain == nil {
			chain = newChainReader(origin)
			chains[origin] = chain
			order = append(order, chain)
		}
		chain.readSegment(object, first)
	}
	for _, chain := range order {
		chain.finish()
		trail.Incarnations = append(trail.Incarnations, chain.incarnation)
		trail.Findings = append(trail.Findings, chain.findings...)
		trail.Records += len(chain.incarnation.Records)
	}
	return trail
}

// Gaps returns all gaps of the trail.
func (trail Trail) Gaps() []Gap {
	var gaps []Gap
	for _, incarnation := range trail.Incarnations {
		gaps = append(gaps, incarnation.Gaps...)
	}
	return gaps
}

// Head is the end of one incarnation's chain.
type Head struct {
	Origin  recorder.Origin `json:"origin"`
	Records int             `json:"records"`
	Stopped bool            `json:"stopped"`
	// Link is the link after the last record that was verified. The process
	// logged it when it stored the segment.
	Link string `json:"link"`
}

// Summary is the result of a verification as JSON.
type Summary struct {
	Segments int       `json:"segments"`
	Records  int       `json:"records"`
	Bytes    int       `json:"bytes"`
	Findings []Finding `json:"findings"`
	Gaps     []Gap     `json:"gaps"`
	Heads    []Head    `json:"heads"`
}

// Summary returns the findings, the gaps and the end of each chain.
func (trail Trail) Summary() Summary {
	summary := Summary{Segments: trail.Segments, Records: trail.Records, Bytes: trail.Bytes, Findings: trail.Findings, Gaps: trail.Gaps()}
	for _, incarnation := range trail.Incarnations {
		summary.Heads = append(summary.Heads, Head{
			Origin:  incarnation.Origin,
			Records: len(incarnation.Records),
			Stopped: incarnation.Stopped,
			Link:    hex.EncodeToString(incarnation.Link[:]),
		})
	}
	return summary
}
