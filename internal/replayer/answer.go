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
	// Window limits the unread bytes of an answer, and so the memory used for a slow
	// caller. Add blocks while there are more, so that flow control extends from the
	// caller to the engine.
	Window = 256 << 10
	// MaxRetained limits the bytes retained behind the reader for a resume.
	MaxRetained = 1 << 20
	// ChunkSize is the maximum number of bytes in a Chunk frame.
	ChunkSize = 32 << 10
)

// Answer buffers one upstream answer between the goroutine that reads it from the
// upstream and those that relay it.
type Answer struct {
	mu      sync.Mutex
	changed chan struct{}
	head    *encoder.Head
	// dataOffset is the offset of data in the body.
	dataOffset uint64
	data       []byte
	// readOffset is the offset of the first unread byte.
	readOffset uint64
	digest     *xxhash.Digest
	end        *encoder.End
	// draining means that Add doesn't wait for a reader.
	draining bool
	settings Settings
}

// Settings configure an answer. Each field may be nil.
type Settings struct {
	// OnHead is called after SetHead stored the head.
	OnHead func()
	// Now returns the agent's current load digest (not a hash of the answer) for
	// End.Now, or nil. It is called only for complete answers.
	Now func() *encoder.Digest
}

// New returns an empty answer.
func New(settings Settings) *Answer {
	return &Answer{settings: settings, changed: make(chan struct{}), digest: xxhash.New()}
}

// wake wakes all waiters after a change; the lock must be held.
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

// Add appends bytes of the body. It blocks while more than Window bytes are unread,
// unless the answer is drained, and returns the error of ctx if ctx is done first.
func (answer *Answer) Add(ctx context.Context, part []byte) error {
	answer.mu.Lock()
	for !answer.draining && answer.length() > answer.readOffset+Window {
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
	if answer.draining {
		answer.readOffset = answer.length()
		answer.trim()
	}
	answer.wake()
	return nil
}

// length returns the length of the body so far; the lock must be held.
func (answer *Answer) length() uint64 {
	return answer.dataOffset + uint64(len(answer.data))
}

// Close ends the answer. Only the first call has an effect.
func (answer *Answer) Close(requestID string, complete bool, failure classifier.Failure) {
	// The End frame of an incomplete answer carries no agent digest (Now): the engine
	// may recover before the report of its crash expires. Settings.Now takes the
	// agent's lock, which must be taken before the answer's.
	var agentDigest *encoder.Digest
	if answer.settings.Now != nil && complete {
		agentDigest = answer.settings.Now()
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
		Now:       agentDigest,
	}
	if !complete {
		answer.end.Kind = failure.Kind.String()
		answer.end.Detail = failure.Detail
	}
	answer.wake()
}

// trim drops bytes more than MaxRetained bytes behind the reader; the lock must be held.
func (answer *Answer) trim() {
	if answer.readOffset <= answer.dataOffset+MaxRetained {
		return
	}
	drop := answer.readOffset - MaxRetained - answer.dataOffset
	answer.data = append([]byte(nil), answer.data[drop:]...)
	answer.dataOffset += drop
}

// nextFrames waits for the frames that follow offset and returns them. They include
// the head only if headSent is false.
func (answer *Answer) nextFrames(ctx context.Context, offset uint64, headSent bool) ([]*encoder.Frame, error) {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	for {
		if offset < answer.dataOffset {
			return nil, errNotRetained
		}
		frames := answer.readyFrames(offset, headSent)
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

// readyFrames returns the frames available at offset, with at most one chunk; the
// lock must be held.
func (answer *Answer) readyFrames(offset uint64, headSent bool) []*encoder.Frame {
	var frames []*encoder.Frame
	if answer.head != nil && !headSent {
		frames = append(frames, encoder.Of(answer.head))
	}
	if offset < answer.length() && offset >= answer.dataOffset {
		from := offset - answer.dataOffset
		to := min(from+ChunkSize, uint64(len(answer.data)))
		part := append([]byte(nil), answer.data[from:to]...)
		return append(frames, encoder.Of(&encoder.Chunk{Offset: offset, Data: part}))
	}
	if answer.end != nil {
		frames = append(frames, encoder.Of(answer.end))
	}
	return frames
}

// errNotRetained is returned if the bytes at the offset of a reader have been dropped.
var errNotRetained = eris.New("the answer's bytes are no longer held")

// Drain lets the upstream continue to write without a reader.
//
// The caller of an order may leave while its run must not be ended. If the answer
// exceeded Window, the upstream would block and occupy its slot until the
// service's CallTimeout (the setting longest-call) ends the run. With Drain, the run ends as
// soon as the upstream does. The last MaxRetained bytes stay available for a look-up; a
// look-up of earlier bytes fails.
func (answer *Answer) Drain() {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	answer.draining = true
	answer.wake()
}

// Rewind ends Drain for a reader that resumes at offset, so that Add waits for the
// reader again.
func (answer *Answer) Rewind(offset uint64) {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	answer.draining = false
	answer.readOffset = min(answer.readOffset, offset)
}

// MarkRead records that the reader has read all bytes before offset.
func (answer *Answer) MarkRead(offset uint64) {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	if offset > answer.readOffset {
		answer.readOffset = offset
		answer.trim()
		answer.wake()
	}
}

// Resumable reports whether a reader can resume at offset, that is, whether all
// bytes from there on are retained.
func (answer *Answer) Resumable(offset uint64) bool {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	return offset >= answer.dataOffset && offset <= answer.length()
}

// Follow writes the answer to the stream, from offset to its end.
func (answer *Answer) Follow(ctx context.Context, stream *encoder.Stream, offset uint64) error {
	headSent := false
	streamDigest := xxhash.New()
	for {
		frames, err := answer.nextFrames(ctx, offset, headSent)
		if err != nil {
			return err
		}
		setPartDigest(frames, streamDigest)
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

// setPartDigest adds the frames to the digest of one stream and sets that digest in
// the End frame. A reader that started at an offset can't check the digest of the
// whole answer.
func setPartDigest(frames []*encoder.Frame, streamDigest *xxhash.Digest) {
	for i, frame := range frames {
		_, _ = streamDigest.Write(frame.GetChunk().GetData())
		if frame.GetEnd() != nil {
			// All readers share the End frame, so each changes a copy.
			end := proto.CloneOf(frame.GetEnd())
			end.PartDigest = streamDigest.Sum64()
			frames[i] = encoder.Of(end)
		}
	}
}

// End returns the End frame of the answer, or nil until it has ended.
func (answer *Answer) End() *encoder.End {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	return answer.end
}

// RetainedBytes returns the number of bytes of the body in memory.
func (answer *Answer) RetainedBytes() int {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	return len(answer.data)
}

// Drop removes the body from memory, so that it can't be read again.
func (answer *Answer) Drop() {
	answer.mu.Lock()
	defer answer.mu.Unlock()
	answer.dataOffset = answer.length()
	answer.data = nil
}
