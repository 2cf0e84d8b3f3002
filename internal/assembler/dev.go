package assembler

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"

	"github.com/oklog/run"

	"github.com/trefoilseam/trefoilseam/internal/imitator"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/publisher"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// DevKey is the team key of the command dev.
const DevKey = "dev-key"

const (
	devPlanners = 9
	devOrders   = 4
	loopback    = "127.0.0.1:0"
)

var devSites = [...]string{"bole", "merkato", "piassa", "kality"}

// DevSettings are the settings of the small site of the command dev.
type DevSettings struct {
	// Listen is where the first entry listens.
	Listen string
	// StandInsOnly leaves out entries and agents, which are then started by hand.
	StandInsOnly bool
}

// Dev is a small site in one process: entries, agents and stand-ins.
type Dev struct {
	settings DevSettings
	env      Environment
	entries  *run.Group
	agents   *run.Group
	standIns *run.Group
	platform *imitator.Platform
	ledger   *imitator.Ledger
	cleanups []func()

	// Entries are the addresses of the entries.
	Entries []string
	// Platform is the base address of the platform's stand-in.
	Platform string
	// Upstreams are the base addresses of the stand-ins by replica name.
	Upstreams map[string]string
}

// devConfig returns the configuration of the small site.
func devConfig() resolver.Bundle {
	sum := sha256.Sum256([]byte(DevKey))
	return resolver.Bundle{Base: fmt.Sprintf(`
[teams.dev]
key-hashes = [%q]

[services.planner]
kind = "model"
models = ["planner"]
cached-header = %q
cache-path = "/cache"
# Long chats come back, so reuse weighs more than an even spread.
load-factor = 2

[services.orders]
kind = "plain"

[[routes]]
path = "/orders"
service = "orders"
idempotent-methods = ["GET", "HEAD"]
`, hex.EncodeToString(sum[:]), imitator.CachedHeader)}
}

// NewDev adds the actors of a small site to group, and returns the site and a function
// that releases its resources. The caller runs the group.
func NewDev(ctx context.Context, settings DevSettings, env Environment, group *run.Group) (*Dev, func(), error) {
	var stopOrder stages
	dev := &Dev{
		settings:  settings,
		env:       env,
		entries:   stopOrder.add(),
		agents:    stopOrder.add(),
		standIns:  stopOrder.add(),
		platform:  imitator.NewPlatform(env.Clock),
		ledger:    imitator.NewLedger(),
		Upstreams: map[string]string{},
	}
	if err := dev.start(ctx); err != nil {
		dev.release()
		return nil, nil, err
	}
	stopOrder.addTo(group)
	return dev, dev.release, nil
}

func (dev *Dev) release() {
	for i := len(dev.cleanups) - 1; i >= 0; i-- {
		dev.cleanups[i]()
	}
}

func (dev *Dev) start(ctx context.Context) error {
	address, err := dev.serve(dev.platform.Handler())
	if err != nil {
		return err
	}
	dev.Platform = address
	dev.env.Platform = dev.platform.InProcess()
	if _, err := publisher.Accept(ctx, dev.env.Platform, devConfig(), 0, "dev"); err != nil {
		return err
	}
	instances, err := dev.startReplicas(ctx)
	if err != nil {
		return err
	}
	if dev.settings.StandInsOnly {
		// Agents started by hand have their own addresses; the operator adds them
		// to the instance list.
		return nil
	}
	dev.platform.SetInstances(instances)
	for i, listen := range []string{dev.settings.Listen, loopback} {
		if err := dev.startEntry(ctx, "entry-"+strconv.Itoa(i+1), listen); err != nil {
			return err
		}
	}
	return nil
}

// serve starts a stand-in on a free loopback port and returns its base address.
func (dev *Dev) serve(handler http.Handler) (string, error) {
	listener, err := listen(loopback)
	if err != nil {
		return "", err
	}
	addServer(dev.standIns, listener, handler, resolver.DefaultCallTimeout.Duration())
	return "http://" + listener.Addr().String(), nil
}

func (dev *Dev) startReplicas(ctx context.Context) ([]storekeeper.Instance, error) {
	var instances []storekeeper.Instance
	add := func(service string, count int, upstream func(name string) http.Handler) error {
		for i := range count {
			name := service + "-" + strconv.Itoa(i+1)
			instance, err := dev.startReplica(ctx, service, name, devSites[i%len(devSites)], upstream(name))
			if err != nil {
				return err
			}
			instances = append(instances, instance)
		}
		return nil
	}
	if err := add("planner", devPlanners, dev.engine); err != nil {
		return nil, err
	}
	return instances, add("orders", devOrders, dev.orders)
}

func (dev *Dev) engine(name string) http.Handler {
	engine, stop := imitator.NewEngine(imitator.EngineSettings{Name: name, Clock: dev.env.Clock})
	dev.cleanups = append(dev.cleanups, stop)
	return engine.Handler()
}

func (dev *Dev) orders(name string) http.Handler {
	return imitator.NewService(imitator.ServiceSettings{
		Name: name, Ledger: dev.ledger, Work: 2 * timekeeper.Millisecond, Clock: dev.env.Clock,
	})
}

func (dev *Dev) startReplica(
	ctx context.Context, service, name, site string, upstream http.Handler,
) (storekeeper.Instance, error) {
	address, err := dev.serve(upstream)
	if err != nil {
		return storekeeper.Instance{}, err
	}
	dev.Upstreams[name] = address
	instance := storekeeper.Instance{Name: name, Service: service, Site: site}
	if dev.settings.StandInsOnly {
		return instance, nil
	}
	settings := loader.Agent{Service: service, Upstream: address}
	settings.Process = loader.Process{Name: name, Site: site, Listen: loopback, Platform: dev.Platform}
	agent, release, err := NewAgent(ctx, settings, dev.env)
	if err != nil {
		return storekeeper.Instance{}, err
	}
	dev.cleanups = append(dev.cleanups, release)
	agent.AddTo(dev.agents)
	instance.Address = agent.Address()
	return instance, nil
}

func (dev *Dev) startEntry(ctx context.Context, name, listen string) error {
	settings := loader.Entry{Process: loader.Process{Name: name, Site: devSites[0], Listen: listen, Platform: dev.Platform}}
	entry, release, err := NewEntry(ctx, settings, dev.env)
	if err != nil {
		return err
	}
	dev.cleanups = append(dev.cleanups, release)
	entry.AddTo(dev.entries)
	dev.Entries = append(dev.Entries, entry.Address())
	return nil
}
