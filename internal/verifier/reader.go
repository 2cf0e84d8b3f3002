package verifier

import (
	"fmt"

	"github.com/trefoilseam/trefoilseam/internal/recorder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// hole is a range of sequence numbers without readable records.
type hole struct {
	recorder.Range
	object string
	from   timekeeper.Instant
	until  timekeeper.Instant
	// reported says that a finding covers the hole already.
	reported bool
}

// chainReader verifies one chain, segment by segment in order of their names.
type chainReader struct {
	incarnation Incarnation
	findings    []Finding
	next        uint64
	link        recorder.Link
	lastAt      timekeeper.Instant
	holes       []hole
	declared    []recorder.Range
	// segmentRejected says that a segment within the next hole was rejected.
	segmentRejected bool
}

func newChainReader(origin recorder.Origin) *chainReader {
	return &chainReader{
		incarnation: Incarnation{Origin: origin},
		next:        1,
		link:        recorder.Genesis(origin),
	}
}

func (chain *chainReader) addFinding(object string, sequence uint64, reason string) {
	chain.findings = append(chain.findings, Finding{Object: object, Sequence: sequence, Reason: reason})
}

// readSegment verifies one segment and adds its records only if the whole segment
// is valid.
func (chain *chainReader) readSegment(object Object, first uint64) {
	decoded, err := recorder.Decode(object.Body)
	if err != nil {
		chain.addFinding(object.Name, first, "the segment can't be read: "+err.Error())
		chain.segmentRejected = true
		return
	}
	if sequence, reason := chain.checkSegment(decoded, first); reason != "" {
		chain.addFinding(object.Name, sequence, reason)
		chain.segmentRejected = true
		return
	}
	if decoded.First > chain.next {
		chain.addHole(object.Name, decoded)
	}
	chain.segmentRejected = false
	for _, line := range decoded.Lines {
		chain.accept(object.Name, line.Record)
	}
	chain.link = decoded.Link
	chain.incarnation.Link = decoded.Link
	chain.next = decoded.First + uint64(len(decoded.Lines))
}

// checkSegment returns what is wrong with a segment and at which record, or an empty
// reason.
func (chain *chainReader) checkSegment(decoded recorder.Decoded, first uint64) (sequence uint64, reason string) {
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
		if recorder.LinkPrefix(link) != line.StoredLinkPrefix {
			return expected, "the record was changed: its hash doesn't follow"
		}
	}
	if link != decoded.Link {
		return first + uint64(len(decoded.Lines)) - 1, "the segment's last link doesn't follow from its records"
	}
	return 0, ""
}

// addHole adds the hole before a segment.
func (chain *chainReader) addHole(object string, decoded recorder.Decoded) {
	chain.holes = append(chain.holes, hole{
		Range:    recorder.Range{First: chain.next, Last: decoded.First - 1},
		object:   object,
		from:     chain.lastAt,
		until:    decoded.Lines[0].At,
		reported: chain.segmentRejected,
	})
}

func (chain *chainReader) accept(object string, record recorder.Record) {
	incarnation := &chain.incarnation
	if incarnation.Stopped {
		chain.addFinding(object, record.Sequence, "a record stands after stopped")
	}
	if record.Sequence == 1 && record.Kind != recorder.Started {
		chain.addFinding(object, record.Sequence, "the record doesn't open with started")
	}
	if record.Kind == recorder.Gap {
		chain.addDeclared(record)
	}
	incarnation.Stopped = record.Kind == recorder.Stopped
	incarnation.Records = append(incarnation.Records, record)
	chain.lastAt = max(chain.lastAt, record.At)
}

// addDeclared adds a loss that the chain itself declares.
func (chain *chainReader) addDeclared(record recorder.Record) {
	if record.First > 0 {
		chain.declared = append(chain.declared, recorder.Range{First: record.First, Last: record.Last})
		return
	}
	chain.incarnation.Gaps = append(chain.incarnation.Gaps, Gap{
		Origin: chain.incarnation.Origin,
		From:   chain.lastAt,
		Until:  record.At,
		Reason: fmt.Sprintf("declared: %d events found the queue full before record %d", record.Count, record.Sequence),
	})
}

// finish turns holes into declared gaps or findings, and reports an open tail.
func (chain *chainReader) finish() {
	for _, hole := range chain.holes {
		reason := fmt.Sprintf("records %d to %d are missing", hole.First, hole.Last)
		switch {
		case chain.covers(hole.Range):
			reason = "declared: " + reason + ", dropped while the store was down"
		case !hole.reported && chain.incarnation.Stopped:
			chain.addFinding(hole.object, hole.First, reason+" before this segment, and no gap declares them")
		case !hole.reported:
			chain.addFinding(hole.object, hole.First, reason+" before this segment; the record ends without stopped, "+
				"so a gap that declared them may be lost with its end")
		}
		chain.addGap(hole.from, hole.until, reason)
	}
	incarnation := &chain.incarnation
	if !incarnation.Stopped {
		chain.addGap(chain.lastAt, never, fmt.Sprintf("open tail: the record ends after %d records without stopped", chain.next-1))
		incarnation.Gaps[len(incarnation.Gaps)-1].Open = true
	}
}

func (chain *chainReader) addGap(from, until timekeeper.Instant, reason string) {
	gap := Gap{Origin: chain.incarnation.Origin, From: from, Until: until, Reason: reason}
	chain.incarnation.Gaps = append(chain.incarnation.Gaps, gap)
}

// covers reports whether the declared gaps cover a whole range.
func (chain *chainReader) covers(missing recorder.Range) bool {
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
