package assembler

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// reportStats writes the state of the entry into gauges. It is called once a second;
// values that change faster are counted where they change.
func (direct *Direct) reportStats() {
	now := direct.clock.Now()
	var services []balancer.ServiceStats
	var transitions []balancer.Transition
	direct.fleet.With(func(fleet *balancer.Fleet) {
		services, transitions = fleet.Stats(now), fleet.Transitions(now)
	})
	direct.logTransitions(transitions, now)
	remaining := direct.frontend.RetriesRemaining()
	for _, service := range services {
		scope := direct.scope.Tagged(map[string]string{labelService: service.Service})
		reportService(scope.SubScope("service"), service)
		if retries, known := remaining[service.Service]; known {
			scope.Gauge("retries-left").Update(retries)
		}
	}
	if inForceSince := timekeeper.Instant(direct.inForceSince.Load()); inForceSince != 0 {
		direct.scope.Gauge("configuration-age-ms").Update(float64(now.Since(inForceSince)))
	}
	if answered := direct.storeAnswered(); answered != 0 {
		direct.scope.Gauge("store-silent-ms").Update(float64(now.Since(answered)))
	}
	if confirmed := direct.replicas.LastConfirmed(); confirmed != 0 {
		direct.scope.Gauge("replicas-confirmed-ago-ms").Update(float64(now.Since(confirmed)))
	}
	direct.reportShares(direct.shares())
	direct.reportReaders()
	direct.scope.Gauge("log-lines-dropped").Update(float64(direct.droppedLines()))
	bodies, answers := direct.frontend.HeldBytes()
	direct.scope.Gauge("body-bytes").Update(float64(bodies))
	direct.scope.Gauge("answer-bytes").Update(float64(answers))
	direct.scope.Gauge("requests-active").Update(float64(direct.frontend.Active()))
}

// logTransitions logs which replicas have become more or less eligible, and why.
func (direct *Direct) logTransitions(transitions []balancer.Transition, now timekeeper.Instant) {
	for _, change := range transitions {
		fields := logrus.Fields{
			labelReplica: change.Replica.ID, labelService: change.Replica.Service, "data-centre": change.Replica.DataCentre,
			"access": change.To.Access.String(), labelCause: string(change.To.Cause), "access-before": change.From.Access.String(),
			"cause-before": string(change.From.Cause),
		}
		if version := change.To.Version; !version.IsZero() {
			fields[labelVersion], fields[labelEra] = version.Number, version.Era
		}
		if change.To.Since != 0 {
			fields["age-ms"] = int64(now.Since(change.To.Since))
		}
		if change.To.Until != 0 {
			fields["until-ms"] = int64(change.To.Until.Since(now))
		}
		direct.log.WithFields(fields).Info("replica eligibility changes")
	}
}

// reportReaders writes gauges of the reader election, and logs when this entry starts
// or stops reading the store.
func (direct *Direct) reportReaders() {
	isReader, readers := direct.peers.isReader(), direct.peers.activeReaders()
	direct.scope.Gauge("store-reads").Update(map[bool]float64{true: 1}[isReader])
	direct.scope.Gauge("store-readers").Update(float64(readers))
	direct.scope.Gauge("store-primary").Update(map[bool]float64{true: 1}[direct.peers.isPrimary()])
	if was := direct.wasReader.Swap(isReader); was != isReader {
		direct.log.WithFields(logrus.Fields{
			"reads": isReader, "readers": readers, "entries-near": direct.peers.recentEntries(),
		}).Info("part in reading the store changes")
	}
}

// reportService writes the gauges of one service. A service whose replicas are all removed
// keeps its last values; the configuration no longer names it.
func reportService(scope tally.Scope, service balancer.ServiceStats) {
	gauges := []struct {
		name  string
		value float64
	}{
		{"replicas-listed", float64(service.Listed)},
		{"replicas-leaving", float64(service.Leaving)},
		{"replicas-evacuated", float64(service.Evacuated)},
		{"replicas-backing-off", float64(service.BackingOff)},
		{"replicas-cold", float64(service.Cold)},
		{"replicas-unreachable", float64(service.Unreachable)},
		{"requests-running", float64(service.Running)},
		{"requests-waiting", float64(service.Waiting)},
		{"reservations", float64(service.Reservations)},
		{"held-mean", service.MeanLoad},
		{"held-most", float64(service.MaxLoad)},
		{"later-than-expected-ms", service.ExcessLatency},
	}
	for _, gauge := range gauges {
		scope.Gauge(gauge.name).Update(gauge.value)
	}
}
