package assembler

import (
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// survey writes what the entry believes into gauges. It is called once a second:
// what changes faster is counted where it happens.
func (direct *Direct) survey() {
	now := direct.clock.Now()
	var services []balancer.ServiceStats
	var transitions []balancer.Transition
	direct.fleet.With(func(fleet *balancer.Fleet) {
		services, transitions = fleet.Stats(now), fleet.Transitions(now)
	})
	direct.logTransitions(transitions, now)
	left := direct.front.RetriesRemaining()
	for _, service := range services {
		scope := direct.scope.Tagged(map[string]string{"service": service.Service})
		writeService(scope.SubScope("service"), service)
		if retries, known := left[service.Service]; known {
			scope.Gauge("retries-left").Update(retries)
		}
	}
	if accepted := timekeeper.Instant(direct.accepted.Load()); accepted != 0 {
		direct.scope.Gauge("configuration-age-ms").Update(float64(now.Since(accepted)))
	}
	if answered := direct.storeAnswered(); answered != 0 {
		direct.scope.Gauge("store-silent-ms").Update(float64(now.Since(answered)))
	}
	if fresh := direct.replicas.LastConfirmed(); fresh != 0 {
		direct.scope.Gauge("replicas-confirmed-ago-ms").Update(float64(now.Since(fresh)))
	}
	direct.surveyReaders()
	direct.scope.Gauge("log-lines-dropped").Update(float64(direct.dropped()))
	direct.scope.Gauge("requests-active").Update(float64(direct.front.Active()))
}

// logTransitions logs which replicas may get more or less than before, and by what news.
func (direct *Direct) logTransitions(transitions []balancer.Transition, now timekeeper.Instant) {
	for _, change := range transitions {
		fields := logrus.Fields{
			labelReplica: change.Replica.ID, "service": change.Replica.Service, "data-centre": change.Replica.DataCentre,
			"access": change.To.Access.String(), labelCause: string(change.To.Cause), "access-before": change.From.Access.String(),
			"cause-before": string(change.From.Cause),
		}
		if change.To.Version != 0 {
			fields["version"] = change.To.Version
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

// surveyReaders writes who reads the store, as this entry sees it, and logs when its own
// part changes.
func (direct *Direct) surveyReaders() {
	reads, readers := direct.fellows.reads(), direct.fellows.takingTurns()
	direct.scope.Gauge("store-reads").Update(map[bool]float64{true: 1}[reads])
	direct.scope.Gauge("store-readers").Update(float64(readers))
	if was := direct.reader.Swap(reads); was != reads {
		direct.log.WithFields(logrus.Fields{
			"reads": reads, "readers": readers, "entries-near": direct.fellows.sharers(),
		}).Info("part in reading the store changes")
	}
}

// writeService writes the gauges of one service. A service whose replicas are all
// gone keeps its last values; its configuration names it no more.
func writeService(scope tally.Scope, service balancer.ServiceStats) {
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
		{"held-mean", service.MeanLoad},
		{"held-most", float64(service.MaxLoad)},
		{"later-than-expected-ms", service.ExcessLatency},
	}
	for _, gauge := range gauges {
		scope.Gauge(gauge.name).Update(gauge.value)
	}
}
