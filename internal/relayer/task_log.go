package relayer

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/reserver"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// log writes a log line about the request's outcome.
func (task *task) log(failure classifier.Failure, now timekeeper.Instant) {
	fields := logrus.Fields{
		"request-id": task.call.ID, "route": task.route.Name, "team": task.team.Name, "version": task.config.Version(),
		labelService: task.service, "rank": int(task.rank()), "total-ms": int64(now.Since(task.arrived)), "runs": task.runs,
	}
	if task.ahead > 0 {
		fields["ahead"] = task.ahead
	}
	if task.placement != nil {
		fields[labelReplica] = task.replica
		fields["uncached"] = task.placement.Uncached
		fields["expected-ms"] = int64(task.placement.Expected)
	}
	if task.firstPartAt != 0 {
		fields["first-ms"] = int64(task.firstPartAt.Since(task.arrived))
	}
	if task.refusals > 0 || task.unsent > 0 {
		fields["refusals"], fields["unsent"] = task.refusals, task.unsent
	}
	if late := task.lateness(now); late > 0 {
		fields["late-ms"] = int64(late)
	}
	task.addStanding(fields)
	if failure.Kind == 0 {
		task.entry.settings.Log.WithFields(fields).Info("request answered")
		return
	}
	fields[labelKind], fields["detail"] = failure.Kind.String(), failure.Detail
	if failure.RetryAfter > 0 {
		fields["retry-after-ms"] = int64(failure.RetryAfter)
	}
	if task.hasReturn {
		fields["return-ms"], fields["reserved"] = int64(task.returning.After), task.returning.Reserved
	}
	task.entry.settings.Log.WithFields(fields).Warn("request failed")
}

// lateness returns for how long the time has been over that the caller said it would wait; zero if it
// isn't over.
func (task *task) lateness(now timekeeper.Instant) timekeeper.Span {
	if task.call.Deadline == 0 {
		return 0
	}
	return max(0, now.Since(task.arrived.Add(task.call.Deadline)))
}

// addStanding adds the class of a request to a contended service, and its standing if it returns on a
// reservation.
func (task *task) addStanding(fields logrus.Fields) {
	if task.class != "" {
		fields["class"] = task.class
	}
	if standing := task.returnStanding(); standing != reserver.None {
		fields["standing"] = standing.String()
	}
}

// logPlacement logs the chosen replica and the inputs of the choice. It is called before
// anything is sent, so that the line exists if the process dies.
func (task *task) logPlacement(placement *balancer.Placement) {
	fields := logrus.Fields{
		"request-id": task.call.ID, labelReplica: placement.Replica.ID, labelService: task.service, "route": task.route.Name,
		"version": task.config.Version(), "rank": int(task.rank()), "uncached": placement.Uncached, "held": placement.Load,
		"candidates": placement.Candidates, "expected-ms": int64(placement.Expected),
		"access": placement.Access.String(), "list-version": placement.ListVersion.Number, "list-era": placement.ListVersion.Era, "try": 1 + task.runs + task.refusals + task.unsent,
		"waited-ms": int64(task.entry.settings.Clock.Now().Since(task.arrived)),
	}
	task.addStanding(fields)
	task.addStreamFields(fields, placement)
	task.addListAge(fields)
	if placement.Source != "" {
		fields["source"], fields["fetched"] = placement.Source, placement.Fetched
	}
	task.entry.settings.Log.WithFields(fields).Info("request placed")
}

// addListAge adds the age of the list of replicas that a request is placed by, and records it.
func (task *task) addListAge(fields logrus.Fields) {
	confirmation := task.entry.settings.ListConfirmation()
	if confirmation.At == 0 {
		return
	}
	age := task.entry.settings.Clock.Now().Since(confirmation.At)
	fields["list-age-ms"], fields["list-from"] = int64(age), confirmation.From
	task.entry.meters.listAge.RecordDuration(age.Duration())
}

func formatVersion(version uint64) string {
	return strconv.FormatUint(version, 10)
}
