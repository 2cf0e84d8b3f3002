// Command case3 shows an entry whose memory grows over that of its machine, since bodies count only once
// they have been read: the platform kills it, and calls at sound replicas are never answered.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/review/stage"
)

// Figures of the case: a small site with its usual traffic.
const (
	host, key = "ficu95.example", "n2ctnfzs989anu6wsjnb"
	planner   = "planner-llm"
	orders    = "orders-app"
	planners  = 9
	orderDesk = 4
	machines  = 2
	// clients send requestRate requests a second in total, on connections that they keep.
	clients     = 40
	requestRate = 85.0
	// From burstFrom on, uploads more clients send a body of bodyBytes each, which is within the limit of
	// the configuration, to one entry. Each takes uploadTime for it. In a burst they begin within
	// burstTime; without one, within calmTime.
	burstFrom  = 5 * timekeeper.Second
	burstTime  = 3 * timekeeper.Second
	calmTime   = 40 * timekeeper.Second
	uploads    = 80
	bodyBytes  = 4_000_000
	uploadTime = 5 * timekeeper.Second
	// afterwards is how long clients go on after an entry was killed.
	afterwards = timekeeper.Second
)

func configuration() stage.Configuration {
	return stage.Configuration{
		Version: 3,
		Routes: []stage.Route{
			{Name: "menu-chat", Host: host, Prefix: "/menu/", Kind: "stream", Timeout: 12000, Target: 300, Gap: 250, Priority: 2, Service: planner, Attempts: 1},
			{Name: "order-lookup", Host: host, Prefix: "/orders/", Kind: "unsafe", Timeout: 1200, Target: 150, Priority: 2, Service: orders, Attempts: 1},
		},
		Services: []stage.Service{
			{Name: planner, HealthPath: stage.HealthPath, Connections: 360},
			{Name: orders, HealthPath: stage.HealthPath, Connections: 96},
		},
		Limits:  stage.SheetLimits(),
		Tenants: []stage.Tenant{{Name: "hule930", Keys: []string{key}, Priority: 1}},
	}
}

// site is the running case.
type site struct {
	platform *stage.Platform
	machines []*stage.Machine
	replicas []*stage.Replica
	stopped  atomic.Bool

	mu    sync.Mutex
	calls []call
}

// call is a request that was sent, and how it ended.
type call struct {
	id      string
	machine *stage.Machine
	outcome stage.Outcome
}

func main() { os.Exit(run()) }

func run() int {
	trouble := flag.Bool("trouble", true, "let many clients come at once")
	file := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	platform, err := stage.NewPlatform(configuration(), *file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return stage.CouldNotRun
	}
	defer platform.Close()
	site := &site{platform: platform}
	if err := site.start(); err != nil {
		platform.Record.Say("could not run: %v", err)
		return stage.CouldNotRun
	}
	site.play(*trouble)
	return site.judge()
}

func (site *site) start() error {
	for number := range planners {
		replica := &stage.Replica{
			ID: fmt.Sprintf("i-7f3a91c%d", number), Service: planner, Zone: "bole-hall", Slots: 64, Queue: 192, Events: 56, EventGap: 20,
			Work: func(string) timekeeper.Span { return 150 + timekeeper.Span(rand.IntN(150)) },
		}
		if err := site.platform.StartReplica(replica); err != nil {
			return err
		}
		site.replicas = append(site.replicas, replica)
	}
	for number := range orderDesk {
		replica := &stage.Replica{
			ID: fmt.Sprintf("i-55d0e2a%d", number), Service: orders, Zone: "bole-hall", Slots: 6, Queue: 24,
			Work: func(string) timekeeper.Span { return 15 + timekeeper.Span(rand.IntN(30)) },
		}
		if err := site.platform.StartReplica(replica); err != nil {
			return err
		}
		site.replicas = append(site.replicas, replica)
	}
	for number := range machines {
		machine, err := site.platform.StartMachine(stage.MachineSettings{
			Name: fmt.Sprintf("front-bole-hall-%d", number+1), Zone: "bole-hall", Megabytes: 284, Descriptors: 4100,
		})
		if err != nil {
			return err
		}
		site.machines = append(site.machines, machine)
	}
	return nil
}

// play lets clients send the usual traffic, and more clients send long bodies.
func (site *site) play(trouble bool) {
	var group sync.WaitGroup
	for number := range clients {
		group.Go(func() { site.send(number) })
	}
	site.wait(burstFrom)
	begin := calmTime
	if trouble {
		begin = burstTime
	}
	site.platform.Record.Say("%d bodies of %d bytes begin within %d ms, at %s", uploads, bodyBytes, int64(begin), site.machines[0].Name)
	var sending sync.WaitGroup
	for number := range uploads {
		sending.Go(func() {
			site.wait(begin * timekeeper.Span(number) / uploads)
			site.upload(number)
		})
	}
	sending.Wait()
	site.wait(afterwards)
	site.stopped.Store(true)
	group.Wait()
}

// upload sends one long body, as fast as the client's own link allows.
func (site *site) upload(number int) {
	machine := site.machines[0]
	if machine.Ended() {
		return
	}
	client := &stage.Client{Front: machine.Front, Host: host, Key: key, Platform: site.platform}
	defer client.Close()
	first := stage.Call{ID: fmt.Sprintf("a%015x", number), Method: "POST", Path: "/orders/2f", Body: []byte("{}"), Deadline: 2500}
	if client.Do(first).Status == 0 {
		return
	}
	request := stage.Call{
		ID: fmt.Sprintf("b%015x", number), Method: "POST", Path: "/menu/2f", Body: make([]byte, bodyBytes), Deadline: 12000, Send: site.sendSlowly,
	}
	outcome := client.Do(request)
	site.mu.Lock()
	defer site.mu.Unlock()
	site.calls = append(site.calls, call{id: request.ID, machine: machine, outcome: outcome})
}

// sendSlowly sends a body in uploadTime.
func (site *site) sendSlowly(conn net.Conn, body []byte) error {
	const pieces = 100
	start, clock := site.platform.Clock.Now(), site.platform.Clock
	for number := range pieces {
		if _, err := conn.Write(body[number*len(body)/pieces : (number+1)*len(body)/pieces]); err != nil {
			return err
		}
		site.wait(start.Add(uploadTime * timekeeper.Span(number+1) / pieces).Since(clock.Now()))
	}
	return nil
}

func (site *site) wait(span timekeeper.Span) {
	_ = site.platform.Clock.Sleep(context.Background(), span)
}

// send sends the requests of one client: three of four are streams.
func (site *site) send(number int) {
	machine := site.machines[number%machines]
	client := &stage.Client{Front: machine.Front, Host: host, Key: key, Platform: site.platform}
	defer client.Close()
	for count := 0; !site.stopped.Load() && !machine.Ended(); count++ {
		id := fmt.Sprintf("%04x%012x", number, count)
		request := stage.Call{ID: id, Method: "POST", Path: "/menu/2f", Body: make([]byte, 1400), Deadline: 12000}
		if rand.IntN(4) == 0 {
			request = stage.Call{ID: id, Method: "POST", Path: "/orders/2f", Body: []byte(`{"order":"` + id + `"}`), Deadline: 2500}
		}
		start := site.platform.Clock.Now()
		outcome := client.Do(request)
		site.mu.Lock()
		site.calls = append(site.calls, call{id: id, machine: machine, outcome: outcome})
		site.mu.Unlock()
		mean := 1000 * clients / requestRate
		site.wait(timekeeper.Span(mean*(0.5+rand.Float64())) - site.platform.Clock.Now().Since(start))
	}
}

// judge finds requests from kept connections that were passed on to a sound replica, and whose connection
// was closed without an answer.
func (site *site) judge() int {
	ranAt := map[string]string{}
	for _, replica := range site.replicas {
		for id := range replica.Runs() {
			ranAt[id] = replica.ID
		}
	}
	lost := map[*stage.Machine]int{}
	statuses := map[int]int{}
	for _, call := range site.calls {
		statuses[call.outcome.Status]++
		replica, ran := ranAt[call.id]
		if call.outcome.Status != 0 || call.outcome.Partial || !call.outcome.Kept || !call.outcome.Sent || !ran {
			continue
		}
		lost[call.machine]++
		site.platform.Record.Say("LOST: %s from a kept connection ran at the sound replica %s, and %s closed the connection without an answer", call.id, replica, call.machine.Name)
	}
	site.platform.Record.Say("%d requests, by status of the answer (0: none): %v", len(site.calls), statuses)
	broken := stage.Held
	for _, machine := range site.machines {
		site.platform.Record.Say("%s: at most %d MB of memory, killed for its memory: %t, requests lost: %d", machine.Name, machine.PeakMemory()>>20, machine.KilledForMemory(), lost[machine])
		if lost[machine] > 3 {
			broken = stage.Broken
		}
	}
	return broken
}
