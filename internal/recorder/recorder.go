package recorder

import (
	"bytes"
	"cmp"
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Settings set up a recorder. All fields without a stated default must be set.
type Settings struct {
	Origin  Origin
	Objects storekeeper.Objects
	Clock   timekeeper.Clock
	Log     logrus.FieldLogger
	// HeartbeatInterval is the time between two pulses; zero means 5 seconds.
	HeartbeatInterval timekeeper.Span
	// FlushInterval is the longest that a record waits for its segment to be
	// sealed; zero means 5 seconds.
	FlushInterval timekeeper.Span
	// Processes returns how many processes write records now, which stretches
	// the time between flushes; nil means that it isn't known.
	Processes func() int
	// SegmentBytes seals a segment early, before compression; zero means 256 KiB.
	SegmentBytes int
	// BacklogBytes bounds the segments that wait for the store; zero means 8 MiB.
	BacklogBytes int
	// QueueLength is how many events wait for the chain; zero means 8192.
	QueueLength int
	// StopTimeout bounds the last flush; zero means 5 seconds.
	StopTimeout timekeeper.Span
}

const (
	// shortestFlush is how often a small fleet flushes.
	shortestFlush = 5 * timekeeper.Second
	// flushShare is the time in which the fleet as a whole writes one segment:
	// at most 100 writes a second, out of the store's several hundred.
	flushShare = 10 * timekeeper.Millisecond
	// firstPause and longestPause bound the wait before a segment is tried again.
	firstPause   = 200 * timekeeper.Millisecond
	longestPause = 15 * timekeeper.Second
	// putTimeout bounds one call of the store.
	putTimeout = 5 * timekeeper.Second
)

// FlushInterval returns how often a process should flush in a fleet of the given
// number of processes.
//
// It is made for thousands of processes before one store: each write is small,
// but their rate grows with the fleet, and the store serves several hundred a
// second for everything. Past 500 processes the time between flushes grows, so
// the record never takes more than 100 writes a second.
func FlushInterval(processes int) timekeeper.Span {
	return max(shortestFlush, timekeeper.Span(processes)*flushShare)
}

func (settings Settings) withDefaults() Settings {
	settings.HeartbeatInterval = cmp.Or(settings.HeartbeatInterval, 5*timekeeper.Second)
	settings.FlushInterval = cmp.Or(settings.FlushInterval, shortestFlush)
	settings.SegmentBytes = cmp.Or(settings.SegmentBytes, 256<<10)
	settings.BacklogBytes = cmp.Or(settings.BacklogBytes, 8<<20)
	settings.QueueLength = cmp.Or(settings.QueueLength, 8192)
	settings.StopTimeout = cmp.Or(settings.StopTimeout, 5*timekeeper.Second)
	return settings
}

// flushEvery returns the time to the next flush, by the size of the fleet now.
func (settings Settings) flushEvery() timekeeper.Span {
	if settings.Processes == nil {
		return settings.FlushInterval
	}
	return max(settings.FlushInterval, FlushInterval(settings.Processes()))
}

// Recorder writes the record of one process.
//
// Lock order: mu alone; it is not held during I/O and never taken by Record.
type Recorder struct {
	settings Settings
	events   chan Event
	missed   atomic.Int64
	pulse    atomic.Pointer[func() Event]
	wake     chan struct{}
	stopping chan struct{}

	mu      sync.Mutex
	backlog *Backlog
	closing sync.Once
}

// New returns a recorder whose record opens with started, and a function that
// records Stopped, flushes, and waits for the store up to StopWait.
func New(settings Settings, started Event) (*Recorder, func()) {
	settings = settings.withDefaults()
	made := &Recorder{
		settings: settings,
		events:   make(chan Event, settings.QueueLength),
		wake:     make(chan struct{}, 1),
		stopping: make(chan struct{}),
		backlog:  NewBacklog(settings.BacklogBytes),
	}
	made.SetHeartbeat(func() Event { return Event{Kind: Alive} })
	started.Kind = Started
	made.Record(started)
	ctx, cancel := context.WithCancel(context.Background())
	var chained, stored sync.WaitGroup
	chained.Go(made.collect)
	stored.Go(func() { made.store(ctx) })
	return made, func() { made.stop(&chained, &stored, cancel) }
}

// Record takes an event. It neither blocks nor allocates: the request path
// pays for a copy into the queue. When the queue is full the event is counted,
// and the count is declared as a Gap.
func (made *Recorder) Record(event Event) {
	if event.At == 0 {
		event.At = made.settings.Clock.Now()
	}
	select {
	case made.events <- event:
	default:
		made.missed.Add(1)
	}
}

// collect is the one goroutine that owns the chain.
func (made *Recorder) collect() {
	chain := NewChain(made.settings.Origin)
	flush, stopFlush := made.settings.Clock.After(made.settings.flushEvery())
	pulse, stopPulse := made.settings.Clock.After(made.settings.HeartbeatInterval)
	defer func() { stopFlush(); stopPulse() }()
	for {
		select {
		case event := <-made.events:
			made.add(chain, event)
		case <-pulse:
			made.add(chain, made.beat())
			pulse, stopPulse = made.settings.Clock.After(made.settings.HeartbeatInterval)
		case <-flush:
			made.seal(chain)
			flush, stopFlush = made.settings.Clock.After(made.settings.flushEvery())
		case <-made.stopping:
			made.finish(chain)
			return
		}
	}
}

// SetHeartbeat sets the function whose event tells the process's state. It is
// recorded every PulseEvery, so that a quiet process is known to have lived.
func (made *Recorder) SetHeartbeat(pulse func() Event) {
	made.pulse.Store(&pulse)
}

func (made *Recorder) beat() Event {
	event := (*made.pulse.Load())()
	event.At = made.settings.Clock.Now()
	return event
}

func (made *Recorder) add(chain *Chain, event Event) {
	made.declare(chain)
	if chain.Add(event) >= made.settings.SegmentBytes {
		made.seal(chain)
	}
}

// declare records how many events found the queue full.
func (made *Recorder) declare(chain *Chain) {
	if missed := made.missed.Swap(0); missed > 0 {
		chain.Add(Event{At: made.settings.Clock.Now(), Kind: Gap, Detail: LostInQueue, Count: missed})
	}
}

// seal closes the open segment and hands it to the backlog.
func (made *Recorder) seal(chain *Chain) {
	segment, ok := chain.Seal()
	if !ok {
		return
	}
	made.mu.Lock()
	gaps := made.backlog.Push(segment)
	made.mu.Unlock()
	for _, gap := range gaps {
		gap.At = made.settings.Clock.Now()
		chain.Add(gap)
		made.settings.Log.WithFields(logrus.Fields{"first": gap.First, "last": gap.Last}).Error("records lost")
	}
	made.alert()
}

// alert wakes the goroutine that stores.
func (made *Recorder) alert() {
	select {
	case made.wake <- struct{}{}:
	default:
	}
}

// finish records what still waits, and Stopped, and seals the last segment.
func (made *Recorder) finish(chain *Chain) {
	for {
		select {
		case event := <-made.events:
			made.add(chain, event)
			continue
		default:
		}
		break
	}
	made.declare(chain)
	// Sealing may drop segments and declare them, so that comes before Stopped.
	made.seal(chain)
	chain.Add(Event{At: made.settings.Clock.Now(), Kind: Stopped})
	last, _ := chain.Seal()
	made.mu.Lock()
	made.backlog.PushLast(last)
	made.mu.Unlock()
	made.alert()
}

func (made *Recorder) stop(chained, stored *sync.WaitGroup, cancel func()) {
	made.closing.Do(func() {
		close(made.stopping)
		chained.Wait()
		close(made.wake)
		late, release := made.settings.Clock.After(made.settings.StopTimeout)
		defer release()
		done := make(chan struct{})
		go func() { stored.Wait(); close(done) }()
		select {
		case <-done:
		case <-late:
			made.settings.Log.Error("the last segments of the record were not stored")
		}
		cancel()
		<-done
	})
}

// store is the one goroutine that writes to the store.
func (made *Recorder) store(ctx context.Context) {
	jitter := rand.New(rand.NewPCG(made.settings.Origin.Incarnation, 0))
	pause := firstPause
	for {
		segment, ok := made.oldest()
		if !ok {
			if _, open := <-made.wake; !open && made.empty() {
				return
			}
			continue
		}
		err := made.put(ctx, segment)
		if err == nil {
			made.stored(segment)
			pause = firstPause
			continue
		}
		made.settings.Log.WithError(err).WithField("segment", segment.Name()).Warn("segment not stored")
		// Full jitter: thousands of processes that saw the same outage must not
		// return in step and bring the store down again.
		if made.settings.Clock.Sleep(ctx, 1+timekeeper.Span(jitter.Int64N(int64(pause)))) != nil {
			return
		}
		pause = min(2*pause, longestPause)
	}
}

func (made *Recorder) oldest() (Segment, bool) {
	made.mu.Lock()
	defer made.mu.Unlock()
	return made.backlog.Oldest()
}

func (made *Recorder) empty() bool {
	_, more := made.oldest()
	return !more
}

// stored takes a segment off the backlog. Its link goes to the log, which is
// kept elsewhere: a whole chain that is forged later ends in other links.
func (made *Recorder) stored(segment Segment) {
	made.mu.Lock()
	made.backlog.MarkStored(segment.First)
	made.mu.Unlock()
	made.settings.Log.WithFields(logrus.Fields{
		"segment": segment.Name(),
		"records": segment.Records(),
		"link":    hex.EncodeToString(segment.Link[:]),
	}).Info("segment stored")
}

// put stores a segment. The failure: the answer to a write is lost after the
// write took effect. The symptom would be a segment tried for ever, since its
// name is taken, and a backlog that overflows. The name is this incarnation's
// own, so reading back settles it.
func (made *Recorder) put(ctx context.Context, segment Segment) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout.Duration())
	defer cancel()
	err := made.settings.Objects.Put(ctx, segment.Name(), segment.Body)
	settle := eris.Is(err, storekeeper.ErrUnknown) || eris.Is(err, storekeeper.ErrConflict)
	if !settle {
		return err
	}
	there, readErr := made.settings.Objects.Get(ctx, segment.Name())
	if readErr != nil {
		return err
	}
	if !bytes.Equal(there, segment.Body) {
		made.settings.Log.WithField("segment", segment.Name()).Error("another segment has this name")
	}
	return nil
}
