package verifier

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// LoadSkew is how far the busiest replica of a service is from the mean.
type LoadSkew struct {
	At      timekeeper.Instant `json:"at"`
	Service string             `json:"service"`
	// Ratio is the highest load over the mean load.
	Ratio float64 `json:"ratio"`
	Max   int64   `json:"max"`
	Mean  float64 `json:"mean"`
}

// AnswerCount is what callers were told in one part of the range.
type AnswerCount struct {
	At      timekeeper.Instant `json:"at"`
	Whole   int                `json:"whole"`
	NotRun  int                `json:"not-run"`
	Unknown int                `json:"unknown"`
}

// parts is how many points a plot has at most.
const parts = 120

// step returns the length of one part of the range.
func (index *evidenceIndex) step() timekeeper.Span {
	return max(1, (index.settings.Until.Since(index.settings.From)+parts-1)/parts)
}

func (index *evidenceIndex) part(at timekeeper.Instant) timekeeper.Instant {
	step := index.step()
	return index.settings.From.Add(at.Since(index.settings.From) / step * step)
}

// spot is one part of the range at one service.
type spot struct {
	at      timekeeper.Instant
	service string
}

// skews returns the skew of each service at the busiest moment of each part of
// the range. The highest ratio would say little: one call at an idle service
// makes its replica as many times the mean as there are replicas.
func (index *evidenceIndex) skews() []LoadSkew {
	loads := tally{}
	busiest := map[spot]int64{}
	found := map[spot]LoadSkew{}
	for _, evidence := range index.all {
		loads.note(evidence)
		service := evidence.Origin.Group
		total, replicas := loads[service].sum()
		at := spot{index.part(evidence.At), service}
		if !index.inRange(evidence) || replicas == 0 || total <= busiest[at] {
			continue
		}
		busiest[at] = total
		mean := float64(total) / float64(replicas)
		top := int64(0)
		for _, load := range loads[service] {
			top = max(top, load)
		}
		found[at] = LoadSkew{At: at.at, Service: service, Ratio: float64(top) / mean, Max: top, Mean: mean}
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

// answers counts what callers were told in each part of the range.
func (index *evidenceIndex) answers() []AnswerCount {
	var counts []AnswerCount
	index.each(recorder.Answered, func(answer Evidence) {
		at := index.part(answer.At)
		if len(counts) == 0 || counts[len(counts)-1].At != at {
			counts = append(counts, AnswerCount{At: at})
		}
		count := &counts[len(counts)-1]
		switch {
		case answer.Complete:
			count.Whole++
		case answer.Ran == toldNo:
			count.NotRun++
		default:
			count.Unknown++
		}
	})
	return counts
}
