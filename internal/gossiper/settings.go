package gossiper

import (
	"net"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/internal/resumer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// defaultBudget is what digests may cost an entry, in bytes a second: seven tenths of the
// 11 KB/s that a daemon may spend on control traffic.
const defaultBudget = 7700

// Settings set up a gossiper. All fields but Budget, StoreFailing, ListSummary,
// Evacuations, StoreEras, Retention, Quarantined, ChecksHealth, Demands, Reservations and OnStreams
// must be set.
type Settings struct {
	Incarnation uint64
	// DataCentre is the data centre in which the entry runs.
	DataCentre string
	Clock      timekeeper.Clock
	Log        logrus.FieldLogger
	Scope      tally.Scope
	// Conn carries the datagrams; peers know the entry by its address.
	Conn net.PacketConn
	// InFlight returns the requests that this entry has in flight at each replica.
	InFlight func() map[balancer.Key]balancer.InFlight
	// Version returns the version of the configuration in force.
	Version func() uint64
	// StoreAnswered returns when the store last answered this entry; zero means never.
	StoreAnswered func() timekeeper.Instant
	// StoreFailing reports whether the last call to the store failed. Nil means that it
	// never does.
	StoreFailing func() bool
	// ListSummary returns the result of this entry's last read of the list of replicas;
	// false means that there is none to send. Nil means that there never is.
	ListSummary func() (follower.Summary, bool)
	// Evacuations returns the evacuations in force at this entry, and whether to send them
	// to peers. Nil means that there never are any.
	Evacuations func() (balancer.Evacuations, bool)
	// StoreEras returns the newest era of the store that this entry knows, and the first one
	// that it knew, which counts for peers that do not count eras. Nil means that none is
	// known.
	StoreEras func() (newest, first uint64)
	// Retention returns what this entry holds against the store since its return. Nil means
	// nothing.
	Retention func() balancer.Retention
	// ChecksHealth reports whether this entry checks the health of replicas if it is selected.
	// Nil means that it never does.
	ChecksHealth func() bool
	// Quarantined returns the parts of prompts and the requests that are quarantined at this entry. Nil
	// means none.
	Quarantined func() []quarantiner.Quarantine
	// Demands returns what callers of this entry ask of contended services, for digests to a number
	// of peers. Nil means nothing.
	Demands func(peers int) []balancer.ServiceDemand
	// Reservations returns the reservations that this entry has made since the last call. Nil means
	// none.
	Reservations func() []reserver.Reservation
	// OnDigest is called with each new digest of a peer.
	OnDigest func(digest Digest)
	// OnStreams is called with each message of a peer about streams. Nil ignores them.
	OnStreams func(peer string, message resumer.Message)
	// Budget is in bytes a second; zero means 7,700.
	Budget float64
}

// noEvacuations is the default of Settings.Evacuations.
func noEvacuations() (balancer.Evacuations, bool) { return balancer.Evacuations{}, false }

func (settings Settings) withDefaults() Settings {
	if settings.Budget == 0 {
		settings.Budget = defaultBudget
	}
	if settings.StoreFailing == nil {
		settings.StoreFailing = func() bool { return false }
	}
	if settings.ListSummary == nil {
		settings.ListSummary = func() (follower.Summary, bool) { return follower.Summary{}, false }
	}
	if settings.Evacuations == nil {
		settings.Evacuations = noEvacuations
	}
	if settings.StoreEras == nil {
		settings.StoreEras = func() (newest, first uint64) { return 0, 0 }
	}
	if settings.Retention == nil {
		settings.Retention = func() balancer.Retention { return balancer.Retention{} }
	}
	if settings.Quarantined == nil {
		settings.Quarantined = func() []quarantiner.Quarantine { return nil }
	}
	if settings.Demands == nil {
		settings.Demands = func(int) []balancer.ServiceDemand { return nil }
	}
	if settings.Reservations == nil {
		settings.Reservations = func() []reserver.Reservation { return nil }
	}
	if settings.ChecksHealth == nil {
		settings.ChecksHealth = func() bool { return false }
	}
	if settings.OnStreams == nil {
		settings.OnStreams = func(string, resumer.Message) {}
	}
	return settings
}
