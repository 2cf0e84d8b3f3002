package reporter

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/budgeter"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// simulationStart is in the far future, so that deadlines on pipes, which follow the
// machine's clock, don't expire.
const simulationStart = timekeeper.Instant(4102444800000)

// sites is the number of data centres that a simulated fleet spans.
const sites = 3

var errUnreachable = eris.New("simulated partition: the peer is unreachable")

// node is one process of a simulated fleet: an agent, or an entry if it has no service.
type node struct {
	name        string
	site        string
	service     string
	incarnation uint64
	sequence    uint64
	load        int64
	state       encoder.ReplicaState
	down        bool
	exchanger   *Exchanger
	view        *View
	due         timekeeper.Instant
	budget      *budgeter.Budget
}

// simulation runs Exchangers in virtual time over pipes.
type simulation struct {
	t           testing.TB
	manual      *timekeeper.Manual
	random      *rand.Rand
	agents      []*node
	entries     []*node
	listed      []storekeeper.Instance
	partitioned func(from, to *node) bool
}

func newSimulation(t testing.TB, seed uint64, entries, services, replicas int) *simulation {
	t.Helper()
	sim := &simulation{t: t, manual: timekeeper.NewManual(simulationStart), random: rand.New(rand.NewPCG(seed, seed))}
	sim.partitioned = func(*node, *node) bool { return false }
	for i := range services * replicas {
		agent := &node{
			name: "replica-" + strconv.Itoa(i), site: "dc-" + strconv.Itoa(i%sites), service: "service-" + strconv.Itoa(i%services),
			incarnation: uint64(i)<<32 + 1, state: encoder.ReplicaState_REPLICA_STATE_LIVE,
		}
		sim.agents = append(sim.agents, agent)
		sim.listed = append(sim.listed, storekeeper.Instance{
			Name: agent.name, Service: agent.service, Address: agent.name, Site: agent.site,
		})
	}
	for i := range entries {
		sim.entries = append(sim.entries, &node{name: "entry-" + strconv.Itoa(i), site: "dc-" + strconv.Itoa(i%sites)})
	}
	for i, member := range sim.all() {
		sim.startNode(member, seed+uint64(i))
	}
	return sim
}

func (sim *simulation) all() []*node {
	return slices.Concat(sim.agents, sim.entries)
}

// startNode gives a node an empty view and a new exchanger, as a process start does.
func (sim *simulation) startNode(member *node, seed uint64) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	if member.budget == nil {
		member.budget = budgeter.New(budgeter.Settings{})
	}
	member.view = NewView(Settings{
		Directory: storekeeper.Directory{List: func(context.Context) ([]storekeeper.Instance, error) { return sim.listed, nil }},
		Clock:     sim.manual.Clock(), Log: log, Budget: member.budget, Rules: Rules{Indirect: member.service == ""},
		Service: member.service, Seed: seed,
	})
	settings := ExchangeSettings{View: member.view, Open: sim.open(member), Name: member.name, Site: member.site}
	if member.service != "" {
		settings.Self = member.digest
	}
	member.exchanger = NewExchanger(settings)
	member.due = sim.manual.Now().Add(timekeeper.Span(sim.random.Int64N(1000)))
	if err := member.view.ReadList(sim.t.Context()); err != nil {
		sim.t.Fatal(err)
	}
}

func (member *node) digest() *encoder.Digest {
	member.sequence++
	return &encoder.Digest{
		Instance: member.name, Incarnation: member.incarnation, Service: member.service, State: member.state, Load: member.load,
		Running: 3, Sequence: member.sequence, Revision: 7, Site: member.site, Address: member.name,
	}
}

// open returns a node's dial function: it connects to agents over a pipe, unless the
// agent is down or partitioned from the node.
func (sim *simulation) open(from *node) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) {
		at := slices.IndexFunc(sim.agents, func(member *node) bool { return member.name == address })
		if at < 0 || sim.agents[at].down || sim.partitioned(from, sim.agents[at]) {
			return nil, errUnreachable
		}
		near, far := net.Pipe()
		go serve(sim.agents[at], far)
		return near, nil
	}
}

func serve(agent *node, conn net.Conn) {
	defer func() { _ = conn.Close() }()
	stream := encoder.NewStream(conn)
	if ask, err := encoder.ReadAs(stream, (*encoder.Frame).GetDigestAsk); err == nil {
		_ = stream.Write(encoder.Of(agent.exchanger.Answer(ask)))
	}
}

// run advances the clock; each node makes its rounds when they are due.
func (sim *simulation) run(span timekeeper.Span, watch func()) {
	const step = 50 * timekeeper.Millisecond
	for range span / step {
		sim.manual.Advance(step)
		for _, member := range sim.all() {
			if member.down || member.due > sim.manual.Now() {
				continue
			}
			member.load = max(0, member.load+sim.random.Int64N(401)-200)
			member.exchanger.Round(sim.t.Context())
			member.due = sim.manual.Now().Add(member.exchanger.nextInterval())
		}
		if watch != nil {
			watch()
		}
	}
}

// ages returns the sorted ages of the nodes' rows of other live agents.
func (sim *simulation) ages(nodes []*node) []timekeeper.Span {
	var ages []timekeeper.Span
	for _, member := range nodes {
		for _, status := range member.view.Status() {
			if status.State == "live" && status.Name != member.name {
				ages = append(ages, status.Age)
			}
		}
	}
	slices.Sort(ages)
	return ages
}

func quantile(ages []timekeeper.Span, q float64) timekeeper.Span {
	if len(ages) == 0 {
		return 0
	}
	return ages[int(q*float64(len(ages)-1))]
}

// bytesSpent returns the bytes that the nodes have spent since the simulation started,
// without reads of the list.
func bytesSpent(nodes []*node, now timekeeper.Instant) int64 {
	var total int64
	for _, member := range nodes {
		for _, cause := range member.budget.Status(now).Causes {
			if cause.Cause != budgeter.List.String() {
				total += cause.Bytes
			}
		}
	}
	return total
}
