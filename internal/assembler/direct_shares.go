package assembler

import (
	"encoding/json"
	"math"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// PathShares serves the shares of the contended services to operators.
const PathShares = "/shares"

// ShareStatus is what an entry knows of the shares of a contended service.
type ShareStatus struct {
	Service string `json:"service"`
	// Capacity, Demand and Level are in places, Level for a team of weight 1. A level of zero means
	// that no team is over its share.
	Capacity float64 `json:"capacity"`
	Demand   float64 `json:"demand"`
	Level    float64 `json:"level"`
	// Margin is the share of the capacity that is shared out.
	Margin    float64  `json:"margin"`
	TeamsOver []string `json:"teams-over"`
	// Reservations is how many reservations the entry holds for the service.
	Reservations int `json:"reservations"`
}

// sharesDemands reports whether entries tell each other the demands of contended services: shares
// are computed from them, and return times from the requests that found no place.
func sharesDemands(overload loader.Overload) bool { return overload.TeamShares || overload.ReturnTimes }

// demandSource returns what Settings.Demands of a gossiper is, nil if the settings are off.
func (direct *Direct) demandSource() func(peers int) []balancer.ServiceDemand {
	if !sharesDemands(direct.settings.Overload) {
		return nil
	}
	return func(peers int) (demands []balancer.ServiceDemand) {
		direct.fleet.With(func(fleet *balancer.Fleet) { demands = fleet.Demands(peers, direct.clock.Now()) })
		return demands
	}
}

// reservationSource returns what Settings.Reservations of a gossiper is, nil if the setting is off.
func (direct *Direct) reservationSource() func() []reserver.Reservation {
	if !direct.settings.Overload.ReturnTimes {
		return nil
	}
	return func() (reservations []reserver.Reservation) {
		direct.fleet.With(func(fleet *balancer.Fleet) { reservations = fleet.Reservations() })
		return reservations
	}
}

// applyOverload applies the demands and reservations of a digest. A digest without demands drops
// those of the last one.
func (direct *Direct) applyOverload(fleet *balancer.Fleet, digest gossiper.Digest, now timekeeper.Instant) {
	if sharesDemands(direct.settings.Overload) {
		fleet.SetPeerDemands(digest.Address, digest.Demands, digest.Lifetime, now)
	}
	if direct.settings.Overload.ReturnTimes && len(digest.Reservations) > 0 {
		fleet.ReceiveReservations(digest.Reservations, now)
	}
}

// shares returns the shares of all services; none if the settings are off.
func (direct *Direct) shares() (shares []balancer.ShareStats) {
	if !sharesDemands(direct.settings.Overload) {
		return nil
	}
	direct.fleet.With(func(fleet *balancer.Fleet) { shares = fleet.Shares(direct.clock.Now()) })
	return shares
}

// reportShares writes the gauges of shares, and logs which services have become contended or no
// longer are. A service that is no longer reported isn't contended.
func (direct *Direct) reportShares(shares []balancer.ShareStats) {
	contended := map[string]balancer.ShareStats{}
	for _, share := range shares {
		direct.reportShare(share)
		_, was := direct.contended[share.Service]
		delete(direct.contended, share.Service)
		if share.Contended {
			contended[share.Service] = share
		}
		if share.Contended != was {
			direct.logShare(share)
		}
	}
	for _, last := range direct.contended {
		ended := balancer.ShareStats{Service: last.Service, Capacity: last.Capacity, Margin: last.Margin}
		direct.reportShare(ended)
		direct.logShare(ended)
	}
	direct.contended = contended
}

func (direct *Direct) reportShare(share balancer.ShareStats) {
	scope := direct.scope.Tagged(map[string]string{labelService: share.Service})
	scope.Gauge("share-level").Update(finite(share.Level))
	scope.Gauge("share-margin").Update(share.Margin)
	scope.Gauge("teams-over-share").Update(float64(len(share.TeamsOver)))
}

// logShare logs that a service has become contended or no longer is.
func (direct *Direct) logShare(share balancer.ShareStats) {
	message := "service no longer contended"
	if share.Contended {
		message = "service contended"
	}
	direct.log.WithFields(logrus.Fields{
		labelService: share.Service, "capacity": share.Capacity, "demand": share.Demand, "share-level": finite(share.Level),
		"teams-over": share.TeamsOver,
	}).Info(message)
}

// finite returns zero for a level that limits no team, which JSON can't express.
func finite(level float64) float64 {
	if math.IsInf(level, 0) || math.IsNaN(level) {
		return 0
	}
	return level
}

// serveShares serves PathShares.
func (direct *Direct) serveShares(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shareStatus(direct.shares()))
}

// shareStatus returns what operators see of the shares of contended services.
func shareStatus(shares []balancer.ShareStats) []ShareStatus {
	all := make([]ShareStatus, 0, len(shares))
	for _, share := range shares {
		if !share.Contended {
			continue
		}
		all = append(all, ShareStatus{
			Service: share.Service, Capacity: share.Capacity, Demand: share.Demand, Level: finite(share.Level), Margin: share.Margin,
			TeamsOver: append([]string{}, share.TeamsOver...), Reservations: share.Reservations,
		})
	}
	return all
}
