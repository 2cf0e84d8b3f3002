package relayer

import (
	"context"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// healthScanInterval is how often the entry looks for replicas that it must check.
	healthScanInterval = 100 * timekeeper.Millisecond
	// healthCheckTimeout is how long a replica may take for the answer to a check, which may
	// wait for a slot.
	healthCheckTimeout = 300 * timekeeper.Millisecond
)

// CheckHealth checks replicas that get about as many requests as they tolerate cold, or more,
// until ctx ends.
func (entry *Entry) CheckHealth(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	span := func() timekeeper.Span { return healthScanInterval }
	entry.settings.Clock.Every(ctx, span, func(context.Context) {
		var started []balancer.HealthCheck
		now := entry.settings.Clock.Now()
		entry.settings.Fleet.With(func(fleet *balancer.Fleet) { started = fleet.StartHealthChecks(now) })
		for _, check := range started {
			checks.Add(1)
			entry.settings.Go("check health", func() {
				defer checks.Done()
				entry.checkRepeatedly(ctx, check)
			})
		}
	})
}

// checkRepeatedly checks one replica until this entry need not check it any more.
func (entry *Entry) checkRepeatedly(ctx context.Context, check balancer.HealthCheck) {
	log := entry.settings.Log.WithFields(logrus.Fields{labelReplica: check.Replica.ID, labelService: check.Replica.Service})
	log.WithFields(logrus.Fields{"per-second": int(check.Rate), "interval-ms": int64(check.Interval)}).Info("health checks begin")
	count, again := 0, true
	for again {
		began := entry.settings.Clock.Now()
		entry.checkOnce(ctx, check)
		count++
		ended := entry.settings.Clock.Now()
		if entry.settings.Clock.Sleep(ctx, check.Interval-ended.Since(began)) != nil {
			break
		}
		now := entry.settings.Clock.Now()
		entry.settings.Fleet.With(func(fleet *balancer.Fleet) { check, again = fleet.NextHealthCheck(check, now) })
	}
	log.WithField("checks", count).Info("health checks end")
}

// checkOnce checks a replica and applies what it says. Silence and refusals say nothing.
func (entry *Entry) checkOnce(ctx context.Context, check balancer.HealthCheck) {
	config := entry.settings.Config()
	if config == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout.Duration())
	defer cancel()
	dialect := entry.settings.Dialect
	target := connector.Target{
		Key: check.Replica.ID, Address: check.Replica.Address, MaxConnections: entry.maxConnections(config, check.Replica.Service),
	}
	answer, err := entry.settings.Pool.Do(ctx, target, connector.Request{
		Method: http.MethodGet, Path: check.Path, Host: check.Replica.Address, Header: dialect.CheckHealth(check.Replica.ID),
		Matches: func(head http.Header, _ bool) bool { return dialect.ReadHead(0, head).ID == "" },
	})
	if err != nil {
		entry.meters.countHealthCheck(check.Replica.Service, "unanswered")
		return
	}
	defer answer.Finish(false)
	entry.meters.countHealthCheck(check.Replica.Service, "answered")
	entry.applyHead("health-check", check.Replica, answer.StatusCode, dialect.ReadHead(answer.StatusCode, answer.Header))
	drainAnswer(answer)
}
