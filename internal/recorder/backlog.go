package recorder

// Range is a range of sequence numbers, both ends included.
type Range struct {
	First uint64
	Last  uint64
}

// Backlog holds sealed segments until the store has them.
//
// Its limit keeps an agent from running out of memory because of its record while
// the store is down for long. Past the limit it drops the oldest segments, since
// the newest say most about the incident in progress, and the chain declares the
// dropped ranges. A declaration may itself be dropped with its segment, so each
// later drop declares all lost ranges again.
type Backlog struct {
	limit    int
	bytes    int
	segments []Segment
	lost     []Range
}

// NewBacklog returns an empty backlog that holds up to limit bytes.
func NewBacklog(limit int) *Backlog {
	return &Backlog{limit: limit}
}

// Push adds a segment. It returns the Gap events that declare the segments dropped
// so far; the caller must add them to the same chain.
func (backlog *Backlog) Push(segment Segment) []Event {
	backlog.PushLast(segment)
	dropped := false
	for backlog.bytes > backlog.limit && len(backlog.segments) > 1 {
		backlog.dropOldest()
		dropped = true
	}
	if !dropped {
		return nil
	}
	gaps := make([]Event, 0, len(backlog.lost))
	for _, lost := range backlog.lost {
		gaps = append(gaps, Event{
			Kind: Gap, Detail: LostInOutage, First: lost.First, Last: lost.Last, Count: int64(lost.Last - lost.First + 1),
		})
	}
	return gaps
}

// PushLast adds the last segment of a chain. It drops nothing, even past the
// limit, since no later record could declare the loss.
func (backlog *Backlog) PushLast(segment Segment) {
	backlog.segments = append(backlog.segments, segment)
	backlog.bytes += len(segment.Body)
}

func (backlog *Backlog) dropOldest() {
	oldest := backlog.segments[0]
	backlog.removeOldest()
	last := len(backlog.lost) - 1
	if last >= 0 && backlog.lost[last].Last+1 == oldest.First {
		backlog.lost[last].Last = oldest.Last
		return
	}
	backlog.lost = append(backlog.lost, Range{oldest.First, oldest.Last})
}

func (backlog *Backlog) removeOldest() {
	backlog.bytes -= len(backlog.segments[0].Body)
	backlog.segments = append([]Segment(nil), backlog.segments[1:]...)
}

// Oldest returns the segment to store next, or false when the backlog is empty.
func (backlog *Backlog) Oldest() (Segment, bool) {
	if len(backlog.segments) == 0 {
		return Segment{}, false
	}
	return backlog.segments[0], true
}

// MarkStored removes the oldest segment if it starts with sequence number first,
// since the store has it.
func (backlog *Backlog) MarkStored(first uint64) {
	if len(backlog.segments) > 0 && backlog.segments[0].First == first {
		backlog.removeOldest()
	}
}

// Bytes returns the total size of the segments that are not stored yet.
func (backlog *Backlog) Bytes() int {
	return backlog.bytes
}
