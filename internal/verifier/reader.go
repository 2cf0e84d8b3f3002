package verifier

import (
	"fmt"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// hole is a run of sequence numbers whose records can't be read.
type hole struct {
	recorder.Range
	object string
	from   timekeeper.Instant
	until  timekeeper.Instant
	// found says that a finding tells of it already.
	found bool
}

// reader follows one chain, segment by segment in order of their names.
type reader struct {
	incarnation Incarnation
	findings    []Finding
	next        uint64
	link        recorder.Link
	last        timekeeper.Instant
	holes       []hole
	declared    []recorder.Range
	// suspect says that a segment in the place of the next hole was refused.
	suspect bool
}

func newReader(origin recorder.Origin) *reader {
	return &reader{
		incarnation: Incarnation{Origin: origin},
		next:        1,
		link:        recorder.Genesis(origin),
	}
}

func (chain *reader) find(object string, sequence uint64, reason string) {
	chain.findings = append(chain.findings, Finding{Object: object, Sequence: sequence, Reason: reason})
}

// take verifies one segment and believes its records only when all is well.
func (chain *reader) take(object Object, first uint64) {
	decoded, err := recorder.Decode(object.Body)
	if err != nil {
		chain.find(object.Name, first, "the segment can't be read: "+err.Error())
		chain.suspect = true
		return
	}
	if sequence, reason := chain.fault(decoded, first); reason != "" {
		chain.find(object.Name, sequence, reason)
		chain.suspect = true
		return
	}
	if decoded.First > chain.next {
		chain.open(object.Name, decoded)
	}
	chain.suspect = false
	for _, line := range decoded.Lines {
		chain.believe(object.Name, line.Record)
	}
	chain.link = decoded.Link
	chain.incarnation.Link = decoded.Link
	chain.next = decoded.First + uint64(len(decoded.Lines))
}

// fault returns what is wrong with a segment, or an empty reason.
func (chain *reader) fault(decoded recorder.Decoded, first uint64) (sequence uint64, reason string) {
	switch {
	case decoded.Origin != chain.incarnation.Origin || decoded.First != first:
		return first, fmt.Sprintf("the segment is a copy or was renamed: it says %s", decoded.Origin.ObjectName(decoded.First))
	case len(decoded.Lines) == 0:
		return first, "the segment holds no record"
	case first < chain.next:
		return first, fmt.Sprintf("the segment repeats records; %d was expected", chain.next)
	case first == chain.next && decoded.Previous != chain.link:
		return first, "the chain breaks: the segment doesn't follow the record before it"
	}
	link := decoded.Previous
	for i, line := range decoded.Lines {
		expected := first + uint64(i)
		if line.Sequence != expected {
			return expected, fmt.Sprintf("a record was dropped or moved: number %d stands here", line.Sequence)
		}
		link = link.Next(line.Bytes)
		if recorder.LinkPrefix(link) != line.StoredPrefix {
			return expected, "the record was changed: its hash doesn't follow"
		}
	}
	if link != decoded.Link {
		return first + uint64(len(decoded.Lines)) - 1, "the segment's last link doesn't follow from its records"
	}
	return 0, ""
}

// open notes the hole before a segment.
func (chain *reader) open(object string, decoded recorder.Decoded) {
	chain.holes = append(chain.holes, hole{
		Range:  recorder.Range{First: chain.next, Last: decoded.First - 1},
		object: object,
		from:   chain.last,
		until:  decoded.Lines[0].At,
		found:  chain.suspect,
	})
}

func (chain *reader) believe(object string, record recorder.Record) {
	incarnation := &chain.incarnation
	if incarnation.Stopped {
		chain.find(object, record.Sequence, "a record stands after stopped")
	}
	if record.Sequence == 1 && record.Kind != recorder.Started {
		chain.find(object, record.Sequence, "the record doesn't open with started")
	}
	if record.Kind == recorder.Gap {
		chain.declare(record)
	}
	incarnation.Stopped = record.Kind == recorder.Stopped
	incarnation.Records = append(incarnation.Records, record)
	chain.last = max(chain.last, record.At)
}

// declare notes what the chain itself says it lost.
func (chain *reader) declare(record recorder.Record) {
	if record.First > 0 {
		chain.declared = append(chain.declared, recorder.Range{First: record.First, Last: record.Last})
		return
	}
	chain.incarnation.Gaps = append(chain.incarnation.Gaps, Gap{
		Origin: chain.incarnation.Origin,
		From:   chain.last,
		Until:  record.At,
		Reason: fmt.Sprintf("declared: %d events found the queue full before record %d", record.Count, record.Sequence),
	})
}

// finish turns holes into declared gaps or findings, and states an open tail.
func (chain *reader) finish() {
	for _, hole := range chain.holes {
		reason := fmt.Sprintf("records %d to %d are missing", hole.First, hole.Last)
		switch {
		case chain.covers(hole.Range):
			reason = "declared: " + reason + ", dropped while the store was down"
		case !hole.found && chain.incarnation.Stopped:
			chain.find(hole.object, hole.First, reason+" before this segment, and no gap declares them")
		case !hole.found:
			chain.find(hole.object, hole.First, reason+" before this segment; the record ends without stopped, "+
				"so a gap that declared them may be lost with its end")
		}
		chain.gap(hole.from, hole.until, reason)
	}
	incarnation := &chain.incarnation
	if !incarnation.Stopped {
		chain.gap(chain.last, never, fmt.Sprintf("open tail: the record ends after %d records without stopped", chain.next-1))
		incarnation.Gaps[len(incarnation.Gaps)-1].Open = true
	}
}

func (chain *reader) gap(from, until timekeeper.Instant, reason string) {
	gap := Gap{Origin: chain.incarnation.Origin, From: from, Until: until, Reason: reason}
	chain.incarnation.Gaps = append(chain.incarnation.Gaps, gap)
}

// covers reports whether declared gaps cover all of a range.
func (chain *reader) covers(missing recorder.Range) bool {
	next := missing.First
	for range len(chain.declared) + 1 {
		if next > missing.Last {
			return true
		}
		for _, declared := range chain.declared {
			if declared.First <= next && next <= declared.Last {
				next = declared.Last + 1
			}
		}
	}
	return next > missing.Last
}
