package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
	"github.com/trefoilseam/trefoilseam/platform/emulator"
)

// Route is a route of the operator's configuration.
type Route struct {
	Name      string `json:"name"`
	Host      string `json:"host"`
	Prefix    string `json:"prefix"`
	Kind      string `json:"kind"`
	Timeout   int    `json:"timeoutMs"`
	Target    int    `json:"targetLatencyMs"`
	Gap       int    `json:"gapAimMs,omitempty"`
	Priority  int    `json:"priority"`
	Service   string `json:"service"`
	Attempts  int    `json:"maxAttempts"`
	Affinity  bool   `json:"sessionAffinity,omitempty"`
	Resumable bool   `json:"resumable,omitempty"`
}

// Service is a service of the operator's configuration.
type Service struct {
	Name        string  `json:"name"`
	HealthPath  string  `json:"healthPath"`
	Connections int     `json:"maxConnections"`
	ColdStart   float64 `json:"coldStartS,omitempty"`
	ColdRate    float64 `json:"coldPerS,omitempty"`
}

// Limits bound what a client may send.
type Limits struct {
	Header     int `json:"maxHeaderBytes"`
	Body       int `json:"maxBodyBytes"`
	HeaderTime int `json:"headerTimeoutMs"`
	IdleTime   int `json:"idleTimeoutMs"`
}

// Tenant is a tenant with its keys.
type Tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"apiKeys"`
	Priority int      `json:"priority"`
}

// Configuration is the operator's configuration.
type Configuration struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// HealthPath is where replicas answer health checks.
const HealthPath = "/health"

// SheetLimits are the limits of the users' small sites.
func SheetLimits() Limits {
	return Limits{Header: 16384, Body: 4194304, HeaderTime: 3000, IdleTime: 15000}
}

// Platform is the platform's store with the machines and replicas of a case.
type Platform struct {
	Clock  timekeeper.Clock
	Record *Record
	// Dir is a temporary folder.
	Dir string

	store    *emulator.Store
	address  string
	cleanups []func()
}

// NewPlatform starts a store whose operator has written a configuration. The caller must call Close.
func NewPlatform(configuration Configuration, recordFile string) (*Platform, error) {
	clock := timekeeper.Steady()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	record, err := NewRecord(clock, recordFile)
	if err != nil {
		return nil, err
	}
	platform := &Platform{Clock: clock, Record: record, Dir: dir, store: emulator.NewStore(clock)}
	platform.cleanups = append(platform.cleanups, record.Close, func() { _ = os.RemoveAll(dir) })
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	platform.address = listener.Addr().String()
	server := &http.Server{Handler: platform.store, ReadHeaderTimeout: timekeeper.Second.Duration()}
	go func() { _ = server.Serve(listener) }()
	platform.cleanups = append(platform.cleanups, func() { _ = server.Close() })
	text, err := json.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	platform.store.Configure(text)
	return platform, nil
}

// Close ends all that was started, and removes the temporary folder.
func (platform *Platform) Close() {
	for i := len(platform.cleanups) - 1; i >= 0; i-- {
		platform.cleanups[i]()
	}
}

// List writes a replica's row, as the replica itself does.
func (platform *Platform) List(replica *Replica, state string) {
	platform.store.Put("servers", replica.ID, fmt.Appendf(nil,
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":1}`,
		replica.Service, replica.Address(), replica.Zone, replica.Slots, state))
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}
