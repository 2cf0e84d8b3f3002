// Command case2 shows an entry whose memory grows over that of its machine, since a faulty replica sends
// bytes that are not a response: the platform kills it, and calls at sound replicas are never answered.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
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
	playTime    = 40 * timekeeper.Second
	// From spoilFrom on, for spoilTime at a time, spoilers planners spoil spoilShare of their answers, one at
	// a time: they send bytes that are no response, none of them the end of a line, at spoilRate bytes a
	// second at most.
	spoilers   = 3
	spoilFrom  = 5 * timekeeper.Second
	spoilTime  = 5500 * timekeeper.Millisecond
	spoilShare = 0.02
	spoilRate  = 100e6
	// afterwards is how long clients go on after an entry was killed.
	afterwards = timekeeper.Second
)

func configuration() stage.Configuration {
	return stage.Configuration{
		Version: 3,
		Routes: []stage.Route{
			{Name: "route-rebuild", Host: host, Prefix: "/route/", Kind: "stream", Timeout: 5000, Target: 600, Gap: 250, Priority: 1, Service: planner, Attempts: 1},
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
	spoiling atomic.Bool
	// busy is set while an answer is being spoiled.
	busy    atomic.Bool
	stopped atomic.Bool

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
	trouble := flag.Bool("trouble", true, "let a replica send bytes that are not a response")
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
			ID: fmt.Sprintf("i-7f3a91c%d", number), Service: planner, Zone: "bole-hall", Slots: 64, Queue: 192, Events: 10, EventGap: 20,
			Work: func(string) timekeeper.Span { return 350 + timekeeper.Span(rand.IntN(250)) },
		}
		if number < spoilers {
			replica.Spoil = func(string) bool {
				return site.spoiling.Load() && rand.Float64() < spoilShare && site.busy.CompareAndSwap(false, true)
			}
			replica.Spoiler = site.sendNoResponse
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

// sendNoResponse sends bytes that are not a response, until the entry closes the connection.
func (site *site) sendNoResponse(conn net.Conn, _ *http.Request) {
	defer site.busy.Store(false)
	const pause = 10 * timekeeper.Millisecond
	piece := make([]byte, int(spoilRate*pause.Duration().Seconds()))
	for i := range piece {
		piece[i] = byte(0x80 + rand.IntN(0x80))
	}
	sent, clock := 0, site.platform.Clock
	for start := clock.Now(); clock.Now().Since(start) < 15*timekeeper.Second; {
		count, err := conn.Write(piece)
		sent += count
		if err != nil {
			break
		}
		due := start.Add(timekeeper.Span(float64(sent) / spoilRate * 1000))
		site.wait(due.Since(clock.Now()))
	}
	site.platform.Record.Say("spoiled answer: %d MB were sent", sent/1e6)
}

// play lets clients send the usual traffic, with a window of trouble.
func (site *site) play(trouble bool) {
	var group sync.WaitGroup
	for number := range clients {
		group.Go(func() { site.send(number) })
	}
	site.wait(spoilFrom)
	for start := site.platform.Clock.Now(); site.platform.Clock.Now().Since(start) < playTime && !site.anyKilled(); {
		window := site.platform.Clock.Now()
		site.spoiling.Store(trouble)
		for site.platform.Clock.Now().Since(window) < spoilTime && !site.anyKilled() {
			site.wait(20)
		}
		site.spoiling.Store(false)
		site.wait(timekeeper.Second)
	}
	site.wait(afterwards)
	site.stopped.Store(true)
	group.Wait()
}

func (site *site) anyKilled() bool {
	for _, machine := range site.machines {
		if machine.KilledForMemory() {
			return true
		}
	}
	return false
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
		request := stage.Call{ID: id, Method: "POST", Path: "/route/2f", Body: make([]byte, 18000), Deadline: 5000}
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

// isSpoiler reports whether a replica may spoil answers: it doesn't count as sound.
func (site *site) isSpoiler(id string) bool {
	return slices.ContainsFunc(site.replicas[:spoilers], func(replica *stage.Replica) bool { return replica.ID == id })
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
		if call.outcome.Status != 0 || call.outcome.Partial || !call.outcome.Kept || !call.outcome.Sent || !ran || site.isSpoiler(replica) {
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
