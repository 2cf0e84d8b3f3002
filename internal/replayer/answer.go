package replayer

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
)

const (
	// Window is how many bytes of an answer may wait for their reader. It
	// bounds memory when a caller reads slowly; past it the upstream is held
	// back, so flow control reaches from the caller to the engine.
	Window = 256 << 10
	// MaxRetained is how many bytes behind the reader stay for a resume.
	MaxRetained = 1 << 20
	// ChunkSize is the most that one Chunk frame carries.
	ChunkSize = 32 << 10
)

// Answer holds one upstream answer between the goroutine that reads it from
// the upstream and the one that relays it.
type Answer struct {
	mu      sync.Mutex
	changed chan struct{}
	head    *encoder.Head
	base    uint64
	data    []byte
	read    uint64
	digest  *xxhash.Digest
	end     *encoder.End
	// unread says that nobody reads and that the upstream is drained all the same.
	unread   bool
	settings Settings
}

// Settings set up an answer. Each may be nil.
type Settings struct {
	// OnHead is called once the head is there.
	OnHead func()
	// AgentDigest returns what the end brings of the agent, or nil.
	AgentDigest func() *encoder.Digest
}

// New returns an answer that nothing is known of yet.
func New(settings Settings) *Answer {
	return &Answer{settings: settings, changed: make(chan struct{}), digest: xxhash.New()}
}

// wake tells all waiters that something changed; the lock must be held.
func (answer *Answer) wake() {
	close(answer.changed)
	answer.changed = make(chan struct{})
}

// SetHead sets the head of the answer.
func (answer *Answer) SetHead(head *encoder.Head) {
	answer.mu.Lock()
	answer.head = head
	answer.wake()
	answer.mu.Unlock()
	if answer.settings.OnHead != nil {
		answer.settings.OnHead()
	}
}

// Add appends bytes of the body. It waits while more than Window bytes are
// unread, and returns the error of ctx if that ends first. An answer that is
// drained waits for nobody.
func (answer *Answer) Add(ctx context.Context, part []byte) error {
	answer.mu.Lock()
	for !answer.unread && answer.length() > answer.read+Window {
		changed := answer.changed
		answer.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
		answer.mu.Lock()
	}
	defer answer.mu.Unlock()
	answer.data = append(answer.data, part...)
	_, _ = answer.digest.Write(part)
	if answer.unread {
		answer.read = answer.length()
		answer.trim()
	}
	answer.wake()
	return nil
}

// length returns the length of the body so far; the lock must be held.
func (answer *Answer) length() uint64 {
	return answer.base + uint64(len(answer.data))
}

// Close ends the answer. Only the first call counts.
func (answer *Answer) Close(requestID string, complete bool, failure classifier.Failure) {
	// A broken answer brings nothing: its engine may be back sooner than the word of
	// its loss fades. The agent's lock is taken before the answer's, never after it.
	var now *encoder.Digest
	if answer.settings.AgentDigest != nil && complete {
		now = answer.settings.AgentDigest()
	}
	answer.mu.Lock()
	defer answer.mu.Unlock()
	if answer.end != nil {
		return
	}
	answer.end = &encoder.End{
		RequestId: requestID,
		Complete:  complete,
		Length:    answer.length(),
		Digest:    answer.digest.Sum64(),
		Now:       now,
	}
	if !complete {
		answer.end.Kind = failure.Kind.String()
		answer.end.Detail = failure.Detail
	}
	answer.wake()
}

// trim forgets bytes that lie more than Kept bytes behind the reader.
func (answer *Answer) trim() {
	if answer.read <= answer.base+MaxRetained {
		return
	}
	drop := answer.read - MaxRetained - answer.base
	answer.data = append([]byte(nil), answer.data[drop:]...)
	answer.base += drop
}

// next returns the frames that follow offset, waiting until there are some.
// The head is among them only when headSent is false.
func (answer *Answer) next(ctx context.Context, offset uint64, headSent bool) ([]*encoder.Frame, error) {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	for {
		if offset < answer.base {
			return nil, errDropped
		}
		frames := answer.ready(offset, headSent)
		if len(frames) > 0 {
			return frames, nil
		}
		changed := answer.changed
		answer.mu.Unlock()
		var err error
		select {
		case <-changed:
		case <-ctx.Done():
			err = ctx.Err()
		}
		answer.mu.Lock()
		if err != nil {
			return nil, err
		}
	}
}

func (answer *Answer) ready(offset uint64, headSent bool) []*encoder.Frame {
	var frames []*encoder.Frame
	if answer.head != nil && !headSent {
		frames = append(frames, encoder.Of(answer.head))
	}
	if offset < answer.length() && offset >= answer.base {
		from := offset - answer.base
		to := min(from+ChunkSize, uint64(len(answer.data)))
		part := append([]byte(nil), answer.data[from:to]...)
		return append(frames, encoder.Of(&encoder.Chunk{Offset: offset, Data: part}))
	}
	if answer.end != nil {
		frames = append(frames, encoder.Of(answer.end))
	}
	return frames
}

// errDropped says that the bytes that a reader is to get are no longer held.
var errDropped = eris.New("the answer's bytes are no longer held")

// Drain lets the upstream write on with nobody reading.
//
// The failure: the caller of an order leaves, the order's answer is longer
// than the Window, and the run may not be ended. The symptom: the upstream is
// Held back and the slot stays taken until the longest call. Drained, the run
// ends as soon as the upstream does, and its last bytes, kept of them, wait for
// a look-up; one that asks for earlier bytes is told that they are not kept.
func (answer *Answer) Drain() {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	answer.unread = true
	answer.wake()
}

// Rewind makes the upstream wait again, for a reader that has come to offset.
func (answer *Answer) Rewind(offset uint64) {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	answer.unread = false
	answer.read = min(answer.read, offset)
}

// MarkRead notes that the reader has taken all bytes before offset.
func (answer *Answer) MarkRead(offset uint64) {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	if offset > answer.read {
		answer.read = offset
		answer.trim()
		answer.wake()
	}
}

// Resumable reports whether the bytes from offset on are still held.
func (answer *Answer) Resumable(offset uint64) bool {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	return offset >= answer.base && offset <= answer.length()
}

// Follow sends the answer from offset on until its end.
func (answer *Answer) Follow(ctx context.Context, stream *encoder.Stream, offset uint64) error {
	headSent := false
	carried := xxhash.New()
	for {
		frames, err := answer.next(ctx, offset, headSent)
		if err != nil {
			return err
		}
		seal(frames, carried)
		if err := stream.Write(frames...); err != nil {
			return err
		}
		for _, frame := range frames {
			headSent = headSent || frame.GetHead() != nil
			offset += uint64(len(frame.GetChunk().GetData()))
			if frame.GetEnd() != nil {
				return nil
			}
		}
		answer.MarkRead(offset)
	}
}

// seal puts the digest of the bytes that one stream carried on its End. A
// reader that came to an offset can't check the digest of the whole.
func seal(frames []*encoder.Frame, carried *xxhash.Digest) {
	for i, frame := range frames {
		_, _ = carried.Write(frame.GetChunk().GetData())
		if frame.GetEnd() != nil {
			// The End is shared by all readers, so each seals a copy.
			end := proto.CloneOf(frame.GetEnd())
			end.PartDigest = carried.Sum64()
			frames[i] = encoder.Of(end)
		}
	}
}

// End returns how the answer ended, or nil while it goes on.
func (answer *Answer) End() *encoder.End {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	return answer.end
}

// RetainedBytes returns how many bytes of the body are kept.
func (answer *Answer) RetainedBytes() int {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	return len(answer.data)
}

// Drop forgets the body. What was read of it can't be read again.
func (answer *Answer) Drop() {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	answer.base = answer.length()
	answer.data = nil
}
