package assembler

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/oklog/run"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

// invalidRows returns rows of another writer, by key, which name no replica; like is one that does.
func invalidRows(like string) map[string]string {
	rows := map[string]string{"i-another": "\x00\x01 bytes that can't be read, \"sequence\":1"}
	for _, change := range [][2]string{{`"zone":"bole",`, ""}, {`"slots":64`, `"slots":"many"`}, {`"ready"`, `"parked"`}} {
		rows["i-another "+change[0]] = strings.Replace(like, change[0], change[1], 1)
	}
	return rows
}

func TestEntriesBesideAStoreThatFallsSilent(t *testing.T) {
	// Guards against an entry that ends, or loses its list, when all of its waiting reads are answered at once: some
	// rows are invalid, and all are written again and again.
	const (
		entries, replicas, turns = 8, 40, 8
		heartbeat                = 60 * timekeeper.Millisecond
		drainTime                = 400 * timekeeper.Millisecond
	)
	store := emulator.NewStore(timekeeper.Steady())
	store.Configure(emulator.Configuration(1, emulator.Routes(host)))
	row := emulator.Row{Service: "planner", Address: "127.0.0.1:9", DataCentre: "bole", State: "ready", Slots: 64, StartedAt: 1}
	rows := invalidRows(string(row.Encode()))
	for number := range replicas {
		rows[fmt.Sprintf("i-%d", number)] = string(row.Encode())
	}
	beat := func(sequence int) {
		for key, row := range rows {
			store.Put("servers", key, []byte(strings.Replace(row, `"sequence":1`, fmt.Sprintf(`"sequence":%d`, sequence), 1)))
		}
	}
	beat(1)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	running := make([]*Direct, entries)
	ended := make(chan error, entries)
	for number := range running {
		direct, release := directWithStore(t, store)
		t.Cleanup(release)
		direct.settings.Name, direct.settings.DrainTime, direct.settings.StopDelay = fmt.Sprintf("entry-%d", number), drainTime, 1
		direct.followStore(direct.peers.store)
		running[number] = direct
		var group run.Group
		direct.AddTo(&group)
		group.Add(func() error { <-ctx.Done(); return nil }, func(error) {})
		go func() { ended <- group.Run() }()
	}
	var beating sync.WaitGroup
	beating.Go(func() {
		for sequence := 2; timekeeper.Steady().Sleep(ctx, heartbeat) == nil; sequence++ {
			beat(sequence)
		}
	})
	clock := timekeeper.Steady()
	for turn := range turns {
		store.SetOutage(emulator.Unresponsive)
		_ = clock.Sleep(ctx, drainTime*timekeeper.Span(2+turn%4)/4)
		store.SetOutage(emulator.NoOutage)
		_ = clock.Sleep(ctx, drainTime)
	}
	Convey("all run, and know all replicas", t, func() {
		So(len(ended), ShouldEqual, 0)
		for _, direct := range running {
			known, _, _ := direct.replicas.Rows()
			So(len(known), ShouldEqual, replicas)
			So(direct.serving(), ShouldBeTrue)
		}
		stop()
		beating.Wait()
		for range running {
			So(<-ended, ShouldBeNil)
		}
	})
}
