package recorder

// Range is a run of sequence numbers, both ends included.
type Range struct {
	First uint64
	Last  uint64
}

// Backlog holds sealed segments until the store has them.
//
// It is made for a store that is down for long: the harm is an agent that runs
// out of memory because of its record. Past the limit the oldest segments go,
// since the newest tell most about the incident under way, and what went is
// declared in the chain. A declaration may itself go with its segment, so
// every undelivered one is repeated by each later drop.
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

// Push adds a segment. It returns the events that declare what was dropped,
// which must go into the same chain.
func (backlog *Backlog) Push(segment Segment) []Event {
	backlog.PushLast(segment)
	dropped := false
	for backlog.bytes > backlog.limit && len(backlog.segments) > 1 {
		backlog.drop()
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
// limit: no record could follow to declare it.
func (backlog *Backlog) PushLast(segment Segment) {
	backlog.segments = append(backlog.segments, segment)
	backlog.bytes += len(segment.Body)
}

func (backlog *Backlog) drop() {
	oldest := backlog.segments[0]
	backlog.remove()
	end := len(backlog.lost) - 1
	if end >= 0 && backlog.lost[end].Last+1 == oldest.First {
		backlog.lost[end].Last = oldest.Last
		return
	}
	backlog.lost = append(backlog.lost, Range{oldest.First, oldest.Last})
}

func (backlog *Backlog) remove() {
	backlog.bytes -= len(backlog.segments[0].Body)
	backlog.segments = append([]Segment(nil), backlog.segments[1:]...)
}

// Oldest returns the segment to store next; false when there is none.
func (backlog *Backlog) Oldest() (Segment, bool) {
	if len(backlog.segments) == 0 {
		return Segment{}, false
	}
	return backlog.segments[0], true
}

// MarkStored notes that the store has the segment that starts with first.
func (backlog *Backlog) MarkStored(first uint64) {
	if len(backlog.segments) > 0 && backlog.segments[0].First == first {
		backlog.remove()
	}
}

// Bytes returns what the waiting segments hold.
func (backlog *Backlog) Bytes() int {
	return backlog.bytes
}
