package relayer

import (
	"cmp"
	"context"
	"slices"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/resumer"
	"github.com/trefoilseam/trefoilseam/internal/router"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// serviceMoved is why a stream whose origin is known is refused: its route no longer leads to the
// service that began it.
const serviceMoved = "service-moved"

// takesUpStream reports whether the caller has events of the stream from an earlier try.
func (task *task) takesUpStream() bool {
	return task.route.Kind == router.Stream && task.call.TakesUpStream()
}

// chooseService sets the service of the request. One that takes a stream up goes to the service
// that began it, and is refused if it isn't known where that was.
func (task *task) chooseService(ctx context.Context) (classifier.Failure, bool) {
	if !task.takesUpStream() {
		task.service = task.route.Service(task.entry.draw())
		return classifier.Failure{}, true
	}
	// The service of a refused request, for its log line and metrics.
	task.service = task.route.Service(0)
	finding := task.findOrigin(ctx)
	detail := string(finding.Source)
	if finding.Origin.Known() && !slices.Contains(task.route.Services(), finding.Origin.Service) {
		finding.Origin, detail = balancer.Origin{}, serviceMoved
	}
	task.entry.meters.countResumption(task.service, detail)
	task.logResumption(finding, detail)
	if !finding.Origin.Known() {
		failure := classifier.New(classifier.OriginUnknown, detail)
		return failure.WithRetryAfter(task.retryAfter()), false
	}
	task.origin, task.service = finding.Origin, finding.Origin.Service
	return classifier.Failure{}, true
}

// findOrigin finds out where the stream began that the caller takes up. Without a record that can be
// told only of a route that leads to one service.
func (task *task) findOrigin(ctx context.Context) resumer.Finding {
	question := resumer.Question{Key: task.streamKey(task.call.Resumes)}
	if services := task.route.Services(); len(services) == 1 {
		question.Service = services[0]
	}
	start := task.entry.settings.Clock.Now()
	finding := task.entry.settings.FindOrigin(ctx, question)
	task.waited += task.entry.settings.Clock.Now().Since(start)
	return finding
}

// streamKey returns the key of the stream that one of the caller's tries began.
func (task *task) streamKey(try string) resumer.Key {
	return resumer.KeyOf(task.team.Name, task.r.Host, task.r.URL.Path, try)
}

// resumptionSlack is how much longer than its caller waits a stream is remembered, for the time
// that requests are on their way.
const resumptionSlack = timekeeper.Second

// beginStream records where the stream began, before the caller gets an event of this answer. A
// stream that is taken up is recorded again, as one of those that knew it may be gone.
func (task *task) beginStream() {
	try := task.call.ID
	if task.takesUpStream() {
		try = task.call.Resumes
	} else {
		task.origin = task.placement.Replica.Origin()
	}
	if try == "" || !task.route.Idempotent() || !task.origin.Known() {
		return
	}
	lifetime := resumer.MaxLifetime
	if task.call.Deadline > 0 {
		lifetime = min(lifetime, task.call.Deadline+resumptionSlack)
	}
	task.entry.settings.OnStreamBegun(resumer.Record{Key: task.streamKey(try), Origin: task.origin, Lifetime: lifetime})
}

// canContinue reports whether another replica may go on after what the caller already has.
func (task *task) canContinue() bool { return !task.headCopied || task.origin.Known() }

// addStreamFields adds what the line of a placement says of a stream that goes on.
func (task *task) addStreamFields(fields logrus.Fields, placement *balancer.Placement) {
	if placement.Replica.SoftwareVersion != "" {
		fields["software-version"] = placement.Replica.SoftwareVersion
	}
	if event := cmp.Or(task.lastEvent, task.call.LastEventID); event != "" {
		fields["after-event"] = event
	}
	if task.call.Resumes != "" {
		fields["resumes"] = task.call.Resumes
	}
}

// logResumption logs what is known of the stream that a caller takes up.
func (task *task) logResumption(finding resumer.Finding, source string) {
	fields := logrus.Fields{
		"request-id": task.call.ID, labelService: finding.Origin.Service, "resumes": task.call.Resumes, "after-event": task.call.LastEventID,
		"source": source, "software-version": finding.Origin.SoftwareVersion, "waited-ms": int64(task.waited),
		"asked": finding.Asked, "answered": finding.Answered,
	}
	if finding.Peer != "" {
		fields["peer"] = finding.Peer
	}
	task.entry.settings.Log.WithFields(fields).Info("stream taken up")
}
