package relayer

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/sirupsen/logrus"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/internal/sequencer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// checkedFleet returns a fleet with one replica that has got far more than it tolerates cold.
func checkedFleet(address string, now timekeeper.Instant) *balancer.Fleet {
	fleet := balancer.New(balancer.Settings{})
	fleet.SetWarmUp("planner", balancer.WarmUp{Span: 3 * timekeeper.Second, Rate: 12, HealthPath: "/health"})
	fleet.SetReplicas([]balancer.Replica{{ID: "i-1", Service: "planner", Address: address, Slots: 64}}, sequencer.Version{Number: 1})
	fleet.SetEntries("10.0.0.1:7000", nil)
	for range 100 {
		placement, _ := fleet.Choose(balancer.Request{Service: "planner"}, now)
		fleet.End(placement, balancer.Served, now)
	}
	return fleet
}

// healthDialect reads what a health answer says from headers with short names.
func healthDialect() Dialect {
	dialect := plainDialect()
	dialect.CheckHealth = func(replica string) http.Header { return http.Header{"Intended": {replica}} }
	dialect.ReadHead = func(status int, header http.Header) Head {
		cold, _ := strconv.Atoi(header.Get("Cold"))
		return Head{
			ID: header.Get("Id"), Replica: header.Get("Replica"), ColdFor: timekeeper.Span(cold),
			Misdirected: status == http.StatusMisdirectedRequest,
		}
	}
	return dialect
}

func TestHealthAnswers(t *testing.T) {
	// Guards against an answer that is taken for what a replica says of itself though it comes
	// from another replica, belongs to another request, or never comes.
	answer := func(status int, fields ...string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			for i := 0; i < len(fields); i += 2 {
				w.Header().Set(fields[i], fields[i+1])
			}
			w.WriteHeader(status)
		}
	}
	raw := func(text string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_, _ = io.WriteString(conn, text)
				_ = conn.Close()
			}
		}
	}
	tests := []struct {
		name   string
		answer http.HandlerFunc
		cold   bool
	}{
		{"cold", answer(200, "Replica", "i-1", "Cold", "2500"), true},
		{"cold, and not healthy", answer(503, "Replica", "i-1", "Cold", "2500"), true},
		{"warm", answer(200, "Replica", "i-1", "Cold", "0"), false},
		{"healthy, without a word on the cold", answer(200, "Replica", "i-1"), false},
		{"refused, since it is full", answer(503), false},
		{"from a predecessor at the address", answer(200, "Replica", "i-0", "Cold", "2500"), false},
		{"from another replica that refuses it", answer(421, "Replica", "i-0", "Cold", "2500"), false},
		{"to another request", answer(200, "Id", "r-7", "Replica", "i-1", "Cold", "2500"), false},
		{"with a blank in a name", raw("HTTP/1.1 200 OK\r\nReplica: i-1\r\nCold: 2500\r\nServer Note: x\r\nContent-Length: 0\r\n\r\n"), false},
		{"with status 000", raw("HTTP/1.1 000 Trouble\r\nReplica: i-1\r\nCold: 2500\r\nContent-Length: 0\r\n\r\n"), false},
		{"none", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			paths := make(chan string, 16)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				paths <- r.Method + " " + r.URL.Path
				test.answer(w, r)
			}))
			defer server.Close()
			clock := timekeeper.Steady()
			pool, release := connector.NewPool(connector.Settings{Clock: clock})
			defer release()
			log := logrus.New()
			log.SetOutput(io.Discard)
			fleet := checkedFleet(server.Listener.Addr().String(), clock.Now())
			config := router.New(router.Content{Version: 1})
			cold := 0
			entry := New(Settings{
				Clock: clock, Log: log, Scope: testScope(t), Fleet: balancer.Guard(fleet), Pool: pool, Dialect: healthDialect(),
				Config: func() *router.Configuration { return config }, ConnectionShares: func() int { return 8 }, RetryParts: func() int { return 8 },
				OnCold: func(balancer.Replica, timekeeper.Instant) { cold++ },
			})
			checks := fleet.StartHealthChecks(clock.Now())
			So(checks, ShouldHaveLength, 1)
			began := clock.Now()
			entry.checkOnce(t.Context(), checks[0])
			So(clock.Now().Since(began), ShouldBeLessThan, healthCheckTimeout+timekeeper.Second)
			So(<-paths, ShouldEqual, "GET /health")
			So(cold == 1, ShouldEqual, test.cold)
			So(fleet.Stats(clock.Now())[0].Cold == 1, ShouldEqual, test.cold)
		})
	}
}
