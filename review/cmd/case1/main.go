// Command case1 shows requests that must run at most once, are refused, and have run: the entry takes a
// late second answer to a health check for the answer to such a request.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/review/stage"
)

// Figures of the case.
const (
	host     = "ficu95.example"
	service  = "orders-app"
	tenants  = 10
	machines = 4
	replicas = 5
	// clients send their next request as soon as they have an answer: the service works at its limit.
	clients = 120
	// workTime is the mean time that a request takes.
	workTime = 15
	// For coldStart seconds after its start, a replica tolerates coldRate requests a second: entries check
	// the health of those that get as many.
	coldStart, coldRate = 3, 12
	// windows of spoilTime with windowGap between them, in which spoilers replicas send spoilShare of
	// their answers a second time.
	windows    = 18
	spoilTime  = 5 * timekeeper.Second
	windowGap  = 500 * timekeeper.Millisecond
	spoilers   = 3
	spoilShare = 0.03
	// warmTime is how long clients send before the first window.
	warmTime = 3 * timekeeper.Second
)

// keyOf returns the key of a tenant.
func keyOf(tenant int) string { return fmt.Sprintf("n2ctnfzs989anu6wsjn%d", tenant) }

func configuration() stage.Configuration {
	holders := make([]stage.Tenant, 0, tenants)
	for tenant := range tenants {
		holders = append(holders, stage.Tenant{Name: fmt.Sprintf("hule93%d", tenant), Keys: []string{keyOf(tenant)}, Priority: 1})
	}
	return stage.Configuration{
		Version: 3,
		Routes: []stage.Route{
			{Name: "order-lookup", Host: host, Prefix: "/orders/", Kind: "unsafe", Timeout: 1200, Target: 150, Priority: 2, Service: service, Attempts: 1},
		},
		Services: []stage.Service{{Name: service, HealthPath: stage.HealthPath, Connections: 96, ColdStart: coldStart, ColdRate: coldRate}},
		Limits:   stage.SheetLimits(),
		Tenants:  holders,
	}
}

// site is the running case.
type site struct {
	platform *stage.Platform
	machines []*stage.Machine
	replicas []*stage.Replica
	// spoiling is set during a window.
	spoiling atomic.Bool
	stopped  atomic.Bool

	mu sync.Mutex
	// once are the requests that must run at most once, with the status of their answers.
	once   map[string]int
	counts map[int]int
}

func main() { os.Exit(run()) }

func run() int {
	trouble := flag.Bool("trouble", true, "let replicas send answers a second time")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	platform, err := stage.NewPlatform(configuration(), *file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return stage.CouldNotRun
	}
	defer platform.Close()
	site := &site{platform: platform, once: map[string]int{}, counts: map[int]int{}}
	if err := site.start(); err != nil {
		platform.Record.Say("could not run: %v", err)
		return stage.CouldNotRun
	}
	site.play(*trouble)
	return site.judge()
}

func (site *site) start() error {
	for number := range replicas {
		replica := &stage.Replica{
			ID: fmt.Sprintf("i-7f3a91c%d", number), Service: service, Zone: "bole-hall", Slots: 6, Queue: 4,
			Work: func(string) timekeeper.Span { return workTime/2 + timekeeper.Span(rand.IntN(workTime)) },
		}
		if number < spoilers {
			replica.Spoil = func(string) bool { return site.spoiling.Load() && rand.Float64() < spoilShare }
		}
		if err := site.platform.StartReplica(replica); err != nil {
			return err
		}
		site.replicas = append(site.replicas, replica)
	}
	for number := range machines {
		machine, err := site.platform.StartMachine(stage.MachineSettings{
			Name: fmt.Sprintf("front-bole-hall-%d", number+1), Zone: "bole-hall", Megabytes: 284, Descriptors: 4100,
			Bounds: map[string]any{"bounds.coldOver": 1.5, "bounds.coldSlack": 5},
		})
		if err != nil {
			return err
		}
		site.machines = append(site.machines, machine)
	}
	return nil
}

// play lets clients send, with windows of trouble.
func (site *site) play(trouble bool) {
	var group sync.WaitGroup
	for number := range clients {
		group.Go(func() { site.send(number) })
	}
	site.wait(warmTime)
	for number := range windows {
		site.platform.Record.Say("window %d, trouble=%t", number+1, trouble)
		site.spoiling.Store(trouble)
		site.wait(spoilTime)
		site.spoiling.Store(false)
		site.wait(windowGap)
	}
	site.stopped.Store(true)
	group.Wait()
}

func (site *site) wait(span timekeeper.Span) {
	_ = site.platform.Clock.Sleep(context.Background(), span)
}

// send sends the requests of one client. Each must run at most once.
func (site *site) send(number int) {
	client := &stage.Client{Front: site.machines[number%machines].Front, Host: host, Key: keyOf(number % tenants), Platform: site.platform}
	defer client.Close()
	for count := 0; !site.stopped.Load(); count++ {
		id := fmt.Sprintf("%04x%012x", number, count)
		outcome := client.Do(stage.Call{ID: id, Method: "POST", Path: "/orders/2f", Body: []byte(`{"order":"` + id + `"}`), Deadline: 2500})
		site.mu.Lock()
		site.once[id] = outcome.Status
		site.counts[outcome.Status]++
		site.mu.Unlock()
		if outcome.Status != 200 {
			site.wait(max(outcome.RetryAfter, 50))
		}
	}
}

// judge finds requests that were refused, and ran. It also reports those that ran more than once, for the
// same cause: the entry sent them on to another replica.
func (site *site) judge() int {
	runs := map[string]int{}
	for _, replica := range site.replicas {
		all, rejected := replica.Checks()
		site.platform.Record.Say("%s: health checks %d, rejected %d, requests run %d", replica.ID, all, rejected, len(replica.Runs()))
		for id, count := range replica.Runs() {
			runs[id] += count
		}
	}
	site.platform.Record.Say("answers by status (0: none): %v", site.counts)
	twice, refused := 0, 0
	for id, status := range site.once {
		if runs[id] > 1 {
			twice++
			site.platform.Record.Say("TWICE: %s must run at most once, and ran %d times", id, runs[id])
		}
		if (status == 503 || status == 429) && runs[id] > 0 {
			refused++
			site.platform.Record.Say("REFUSED: %s was answered %d, and ran", id, status)
		}
	}
	site.platform.Record.Say("requests that must run at most once: %d sent, %d ran more than once, %d were refused and ran", len(site.once), twice, refused)
	if refused > 0 {
		return stage.Broken
	}
	return stage.Held
}
