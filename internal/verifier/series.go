package verifier

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// LoadSkew is how far the load of a service's busiest replica exceeds the mean.
type LoadSkew struct {
	At      timekeeper.Instant `json:"at"`
	Service string             `json:"service"`
	// Ratio is the highest load over the mean load.
	Ratio float64 `json:"ratio"`
	Max   int64   `json:"max"`
	Mean  float64 `json:"mean"`
}

// AnswerCount counts the answers to callers by result in one part of the range.
type AnswerCount struct {
	At      timekeeper.Instant `json:"at"`
	Whole   int                `json:"whole"`
	NotRun  int                `json:"not-run"`
	Unknown int                `json:"unknown"`
}

// maxParts is the number of points that a plot has at most.
const maxParts = 120

// partLength returns the length of one part of the range.
func (index *evidenceIndex) partLength() timekeeper.Span {
	return max(1, (index.settings.Until.Since(index.settings.From)+maxParts-1)/maxParts)
}

func (index *evidenceIndex) partStart(at timekeeper.Instant) timekeeper.Instant {
	partLength := index.partLength()
	return index.settings.From.Add(at.Since(index.settings.From) / partLength * partLength)
}

// servicePart is one service in one part of the range.
type servicePart struct {
	at      timekeeper.Instant
	service string
}

// skews returns the load skew of each service at the busiest moment of each part of
// the range. The highest ratio would mislead: at an idle service one call makes the
// ratio equal to the number of replicas.
func (index *evidenceIndex) skews() []LoadSkew {
	loads := fleetLoads{}
	busiest := map[servicePart]int64{}
	found := map[servicePart]LoadSkew{}
	for _, evidence := range index.all {
		loads.update(evidence)
		service := evidence.Origin.Group
		total, replicas := loads[service].sum()
		at := servicePart{index.partStart(evidence.At), service}
		if !index.inRange(evidence) || replicas == 0 || total <= busiest[at] {
			continue
		}
		busiest[at] = total
		mean := float64(total) / float64(replicas)
		highest := int64(0)
		for _, load := range loads[service] {
			highest = max(highest, load)
		}
		found[at] = LoadSkew{At: at.at, Service: service, Ratio: float64(highest) / mean, Max: highest, Mean: mean}
	}
	skews := make([]LoadSkew, 0, len(found))
	for _, skew := range found {
		skews = append(skews, skew)
	}
	slices.SortFunc(skews, func(a, b LoadSkew) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.At, b.At))
	})
	return skews
}

// answers counts the answers to callers in each part of the range, by result.
func (index *evidenceIndex) answers() []AnswerCount {
	var counts []AnswerCount
	index.forEach(recorder.Answered, func(answer Evidence) {
		at := index.partStart(answer.At)
		if len(counts) == 0 || counts[len(counts)-1].At != at {
			counts = append(counts, AnswerCount{At: at})
		}
		count := &counts[len(counts)-1]
		switch {
		case answer.Complete:
			count.Whole++
		case answer.Ran == ranNo:
			count.NotRun++
		default:
			count.Unknown++
		}
	})
	return counts
}
