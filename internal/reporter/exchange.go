package reporter

import (
	"context"
	"net"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// RoundInterval is the time between two rounds. News that every agent has
	// reaches an entry within one, which leaves a second of the two that a
	// leaving upstream may still get work for its notice to reach the agents.
	RoundInterval = timekeeper.Second
	// firstRounds are quick, so that a process that starts is useful at once.
	firstRounds = 4
	firstPause  = 100 * timekeeper.Millisecond
	// askTimeout bounds one exchange: less than a round, so that a peer that
	// swallows everything costs one round and holds up none.
	askTimeout = 400 * timekeeper.Millisecond
	// messageLimit is the size of a message in bytes, about 128 load rows. It is
	// what keeps the bytes of an agent from growing with its service.
	messageLimit = 1408
	// entryLimit is the size of the load rows that an entry asks for in a round,
	// shared by all services. It hears all news whatever their size; loads it
	// needs only for a first guess, since agents enforce the bound.
	entryLimit = 1024
	// streamCost is what an exchange takes beside its two messages: yamux
	// headers of 12 bytes to open, send, answer and close, and frame lengths.
	streamCost = 96
	// announceWorkers bounds how many peers are told at once of a leave.
	announceWorkers = 16
)

// Exchanger speaks to peers for a view.
type Exchanger struct {
	view   *View
	budget *budgeter.Budget
	clock  timekeeper.Clock
	open   func(ctx context.Context, address string) (net.Conn, error)
	name   string
	site   string
	seeds  []string
	self   func() *encoder.Digest
	every  timekeeper.Span
	// limit is the size of a message between agents.
	limit int
	// share is the size of load rows that an entry asks for in a round.
	share int

	mu       sync.Mutex
	rounds   int
	wanted   []uint32
	contacts map[string]contact
	known    map[string]heard
	answered map[string]timekeeper.Instant
}

// contact is the agent that an entry asks about a service.
type contact struct {
	name string
	site string
}

// heard is how far one agent's table has been read.
type heard struct {
	incarnation uint64
	version     uint64
}

// ExchangeSettings set up an exchanger. All fields without a stated default must be set.
type ExchangeSettings struct {
	View *View
	// Open returns a stream to the peer at an address.
	Open func(ctx context.Context, address string) (net.Conn, error)
	Name string
	Site string
	// Seeds are addresses of agents to ask when no replica is known.
	Seeds []string
	// Self returns what the agent says about itself; nil for an entry.
	Self func() *encoder.Digest
	// Interval is the time between two rounds; zero means RoundEvery.
	Interval timekeeper.Span
}

// NewExchanger returns an exchanger that has spoken to nobody yet.
func NewExchanger(settings ExchangeSettings) *Exchanger {
	if settings.Interval == 0 {
		settings.Interval = RoundInterval
	}
	return &Exchanger{
		view: settings.View, budget: settings.View.settings.Budget, clock: settings.View.settings.Clock,
		open: settings.Open, name: settings.Name, site: settings.Site, seeds: settings.Seeds, self: settings.Self,
		every: settings.Interval, limit: messageLimit, share: entryLimit, contacts: map[string]contact{}, known: map[string]heard{}, answered: map[string]timekeeper.Instant{},
	}
}

// Run makes rounds until ctx ends.
func (exchanger *Exchanger) Run(ctx context.Context) {
	exchanger.clock.Every(ctx, exchanger.pause, exchanger.Round)
}

// pause returns the time to the next round, spread by a quarter.
func (exchanger *Exchanger) pause() timekeeper.Span {
	exchanger.mu.Lock()
	rounds := exchanger.rounds
	exchanger.rounds++
	exchanger.mu.Unlock()
	pause := exchanger.every
	if rounds < firstRounds {
		pause = min(pause, firstPause)
	}
	// An entry keeps its pace: a leave must reach it within two seconds.
	if exchanger.self != nil && exchanger.budget.Level(exchanger.clock.Now()) >= budgeter.Short {
		pause *= 2
	}
	return pause*7/8 + timekeeper.Span(exchanger.random(int64(pause/4)+1))
}

func (exchanger *Exchanger) random(below int64) int64 {
	exchanger.view.mu.Lock()
	defer exchanger.view.mu.Unlock()
	return exchanger.view.random.Int64N(below)
}

// Round makes one round: an agent exchanges with one peer, an entry asks about
// each service.
func (exchanger *Exchanger) Round(ctx context.Context) {
	if exchanger.self != nil {
		exchanger.agentRound(ctx)
	} else {
		exchanger.entryRound(ctx)
	}
	exchanger.view.Evaluate()
}

// query returns what a message may hold now, by the level of the budget.
func (exchanger *Exchanger) query(limit int) Query {
	switch level := exchanger.budget.Level(exchanger.clock.Now()); {
	case level >= budgeter.Spent, level >= budgeter.Short && exchanger.self == nil:
		return Query{Limit: limit, WithoutLoads: true}
	case level >= budgeter.Tight:
		return Query{Limit: limit / 2}
	}
	return Query{Limit: limit}
}

// ask makes one exchange with the agent at an address and counts it.
func (exchanger *Exchanger) ask(
	ctx context.Context, address string, cause budgeter.Cause, ask *encoder.DigestAsk,
) (*encoder.Digests, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	conn, err := exchanger.open(ctx, address)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	// Closing a yamux stream doesn't wake its reader; a deadline does.
	_ = conn.SetDeadline(exchanger.clock.Now().Add(askTimeout).Time())
	stream := encoder.NewStream(conn)
	exchanger.spend(cause, streamCost+proto.Size(ask))
	if err := stream.Write(encoder.Of(ask)); err != nil {
		return nil, err
	}
	answer, err := encoder.ReadAs(stream, (*encoder.Frame).GetDigests)
	if err != nil {
		return nil, eris.Wrap(err, "no digests came")
	}
	exchanger.spend(cause, proto.Size(answer))
	return answer, nil
}

func (exchanger *Exchanger) spend(cause budgeter.Cause, bytes int) {
	exchanger.budget.Spend(exchanger.clock.Now(), cause, int64(bytes))
}

// Answer answers the question of a peer, and learns from what it brought.
func (exchanger *Exchanger) Answer(ask *encoder.DigestAsk) *encoder.Digests {
	digest := exchanger.self()
	service := digest.GetService()
	query := exchanger.query(exchanger.limitOf(ask))
	query.KnownVersion, query.UnknownIDs, query.IncludeDead = ask.GetKnown(), ask.GetWanted(), ask.GetOwn() == nil
	query.Recent = ask.GetOwn() != nil || ask.GetRecent()
	query.PeerLoads = ask.GetOwn().GetLoads()
	cause := budgeter.Digest
	var answer *encoder.Digests
	exchanger.view.with(service, func(table *Table, now timekeeper.Instant) {
		table.Merge(now, digest)
		if ask.GetOwn() != nil && ask.GetService() == service {
			exchanger.want(table.Unpack(now, ask.GetOwn()))
		}
		answer = table.Pack(now, query)
		answer.From, answer.Incarnation = exchanger.name, digest.GetIncarnation()
		answer.Service = service
	})
	exchanger.spend(cause, streamCost+proto.Size(ask)+proto.Size(answer))
	return answer
}

func (exchanger *Exchanger) limitOf(ask *encoder.DigestAsk) int {
	if limit := int(ask.GetLimit()); limit > 0 {
		return min(limit, maxAnswer)
	}
	return exchanger.limit
}

// maxAnswer bounds what a peer may ask for: the whole of a large service.
const maxAnswer = 64 << 10

func (exchanger *Exchanger) want(ids []uint32) {
	const most = 32
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	for _, key := range ids {
		if len(exchanger.wanted) < most && !slices.Contains(exchanger.wanted, key) {
			exchanger.wanted = append(exchanger.wanted, key)
		}
	}
}

func (exchanger *Exchanger) takeWanted() []uint32 {
	exchanger.mu.Lock()
	defer exchanger.mu.Unlock()
	wanted := exchanger.wanted
	exchanger.wanted = nil
	return wanted
}
