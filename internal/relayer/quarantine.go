package relayer

import (
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/classifier"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// tellTime is how long after a crash the other entries have told what was in flight there.
	tellTime = 150 * timekeeper.Millisecond
	// concludeTime is how long after a crash others with the same cause are known too. A probe of a replica
	// without power takes up to probeTimeout.
	concludeTime = 600 * timekeeper.Millisecond
	// quarantinedRetryAfter is the Retry-After for requests that are refused for long.
	quarantinedRetryAfter = timekeeper.Minute
	// maxTrialWait bounds how much later callers come back for a suspected part. Another entry may try it
	// sooner than this one.
	maxTrialWait = timekeeper.Second
	// maxToldParts bounds the parts that peers are told of for each request that was in flight at a
	// crash.
	maxToldParts = 16
)

// CrashSharing is how entries share what they know of crashes. All fields must be set.
type CrashSharing struct {
	// OnCrash is called when a replica crashed while a request with the features was in flight, with
	// those for which that was not known.
	OnCrash func(incarnation string, inFlight []quarantiner.Feature)
	// OnSurvival is called for features whose crashes no longer count, since an answer survived; urgent
	// reports whether requests may wait for that.
	OnSurvival func(features []quarantiner.Feature, urgent bool)
	// OnTrial is called when a trial of suspected features begins.
	OnTrial func(features []quarantiner.Feature)
	// OnFailedTrial is called when an incarnation crashed at a trial of parts with an ambiguous result.
	OnFailedTrial func(incarnation string, parts []quarantiner.Feature)
	// OnQuarantine is called when this entry quarantines a feature, unless peers that saw the crash do.
	OnQuarantine func(quarantine quarantiner.Quarantine)
	// Rank returns how many entries may try a suspected part before this one.
	Rank func(part quarantiner.Feature) int
}

func (sharing CrashSharing) withDefaults() CrashSharing {
	if sharing.OnCrash == nil {
		return CrashSharing{
			OnCrash:    func(string, []quarantiner.Feature) {},
			OnSurvival: func([]quarantiner.Feature, bool) {}, OnTrial: func([]quarantiner.Feature) {},
			OnFailedTrial: func(string, []quarantiner.Feature) {},
			OnQuarantine:  func(quarantiner.Quarantine) {}, Rank: func(quarantiner.Feature) int { return 0 },
		}
	}
	return sharing
}

// quarantine guards a table and the runs that have just ended. Its lock is held while CrashSharing.Rank is
// called, which takes that of the gossiper; no other lock is taken after it.
type quarantine struct {
	mu    sync.Mutex
	table *quarantiner.Table
	runs  *quarantiner.Runs[balancer.Replica]
	// concluding are the incarnations whose crashes are concluded soon, and whether this entry saw the crash.
	concluding map[string]bool
	// probing are the incarnations that findCrash probes.
	probing map[string]bool
}

func newQuarantine() *quarantine {
	return &quarantine{
		table: quarantiner.New(), runs: quarantiner.NewRuns[balancer.Replica](), concluding: map[string]bool{}, probing: map[string]bool{},
	}
}

// with calls work with the table while holding the lock.
func (quarantine *quarantine) with(work func(table *quarantiner.Table)) {
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	work(quarantine.table)
}

// RecordCrash records that an incarnation of a replica crashed while requests with the features were
// in flight there, as seen by this entry, or by the peer if it is not "". The crash also counts against
// the requests of this entry whose runs there ended shortly before; the peers are told of those.
func (entry *Entry) RecordCrash(incarnation string, inFlight []quarantiner.Feature, peer string) (struck []quarantiner.Feature) {
	now := entry.settings.Clock.Now()
	var ended []quarantiner.Feature
	entry.quarantine.with(func(table *quarantiner.Table) {
		struck = table.Crash(incarnation, inFlight, now)
		ended = table.Crash(incarnation, entry.quarantine.runs.Crash(incarnation, now), now)
	})
	if len(ended) > 0 {
		entry.settings.Crashes.OnCrash(incarnation, ended)
	}
	all := slices.Concat(struck, ended)
	if slices.ContainsFunc(all, func(feature quarantiner.Feature) bool { return feature.Kind == quarantiner.Request }) {
		entry.concludeSoon(incarnation, peer == "" || len(ended) > 0)
	}
	for _, feature := range all {
		entry.meters.countStrike(feature.Kind)
		fields := logrus.Fields{labelReplica: balancer.IDOf(incarnation), "incarnation": incarnation}
		if peer != "" {
			fields["peer"] = peer
		}
		entry.logFeature(feature, fields).Warn("request struck")
	}
	return struck
}

// concludeSoon concludes a crash once it is known which others came with it; own reports whether this entry saw
// the crash, or had run a request there.
func (entry *Entry) concludeSoon(incarnation string, own bool) {
	quarantine := entry.quarantine
	quarantine.mu.Lock()
	defer quarantine.mu.Unlock()
	_, soon := quarantine.concluding[incarnation]
	quarantine.concluding[incarnation] = own || quarantine.concluding[incarnation]
	if !soon {
		entry.settings.Go("conclude a crash", func() { entry.concludeCrash(incarnation) })
	}
}

// concludeCrash quarantines the requests that have crashed enough replicas, this one among them.
func (entry *Entry) concludeCrash(incarnation string) {
	_ = entry.settings.Clock.Sleep(context.Background(), concludeTime)
	var convicted []quarantiner.Quarantine
	own, now := false, entry.settings.Clock.Now()
	entry.quarantine.with(func(table *quarantiner.Table) {
		own = entry.quarantine.concluding[incarnation]
		delete(entry.quarantine.concluding, incarnation)
		convicted = table.ConcludeCrash(incarnation, now)
	})
	for _, quarantine := range convicted {
		entry.applyQuarantine(quarantine, "crashes")
		if own {
			entry.settings.Crashes.OnQuarantine(quarantine)
		}
	}
}

// RecordSurvival records that answers on the features survived at a peer.
func (entry *Entry) RecordSurvival(features []quarantiner.Feature) {
	now := entry.settings.Clock.Now()
	entry.quarantine.with(func(table *quarantiner.Table) { table.Survive(features, now) })
}

// RecordTrial records that a peer has begun a trial of features.
func (entry *Entry) RecordTrial(features []quarantiner.Feature) {
	now := entry.settings.Clock.Now()
	entry.quarantine.with(func(table *quarantiner.Table) { table.BeginTrial(features, now) })
}

// RecordFailedTrial records that an incarnation crashed at a peer's trial of parts with an ambiguous result.
func (entry *Entry) RecordFailedTrial(parts []quarantiner.Feature, incarnation string) {
	now := entry.settings.Clock.Now()
	entry.quarantine.with(func(table *quarantiner.Table) { table.FailTrial(parts, incarnation, now) })
}

// Quarantine quarantines a feature that a peer or the store knows of, which from names, and reports
// whether that was not known.
func (entry *Entry) Quarantine(quarantine quarantiner.Quarantine, from string) (changed bool) {
	now := entry.settings.Clock.Now()
	entry.quarantine.with(func(table *quarantiner.Table) { changed = table.Quarantine(quarantine, now) })
	if changed {
		entry.applyQuarantine(quarantine, from)
	}
	return changed
}

// Lift ends the quarantine of a feature, and reports whether there was one, or a suspicion.
func (entry *Entry) Lift(feature quarantiner.Feature, from string) (lifted bool) {
	now := entry.settings.Clock.Now()
	entry.quarantine.with(func(table *quarantiner.Table) { lifted = table.Lift(feature, now) })
	if lifted {
		entry.applyQuarantine(quarantiner.Quarantine{Feature: feature, Since: now, Lifted: true}, from)
	}
	return lifted
}

// applyQuarantine refuses the requests that wait, and logs a quarantine or its end.
func (entry *Entry) applyQuarantine(quarantine quarantiner.Quarantine, from string) {
	feature := quarantine.Feature
	if quarantine.Lifted {
		entry.logFeature(feature, logrus.Fields{"from": from}).Warn("quarantine lifted")
		return
	}
	entry.queue.withdraw(func(waiter *balancer.Waiter) bool { return hasFeature(waiter, feature) })
	entry.meters.countQuarantine(feature.Kind)
	entry.logFeature(feature, logrus.Fields{
		"from": from, "incarnations": quarantine.Incarnations, "lapses": quarantine.Lapses,
		"age-ms": int64(entry.settings.Clock.Now().Since(quarantine.Since)),
	}).Error(feature.Kind.String() + " quarantined, it crashes replicas")
}

// Quarantined returns what is quarantined at this entry: see quarantiner.Table.
func (entry *Entry) Quarantined() (quarantined []quarantiner.Quarantine) {
	now := entry.settings.Clock.Now()
	entry.quarantine.with(func(table *quarantiner.Table) { quarantined = table.Quarantined(now) })
	return quarantined
}

func (entry *Entry) logFeature(feature quarantiner.Feature, fields logrus.Fields) *logrus.Entry {
	name := map[quarantiner.Kind]string{quarantiner.Request: "fingerprint", quarantiner.Part: "part"}[feature.Kind]
	return entry.settings.Log.WithFields(fields).WithField(name, formatID(feature.ID))
}

// featuresOf returns what a request may share with others: its fingerprint, and the parts of its
// prompt but the last, which is its own.
func featuresOf(fingerprint uint64, parts []balancer.Part) []quarantiner.Feature {
	shared := balancer.SharedParts(parts)
	features := make([]quarantiner.Feature, 0, 1+len(shared))
	features = append(features, quarantiner.Feature{Kind: quarantiner.Request, ID: fingerprint})
	for _, part := range shared {
		features = append(features, quarantiner.Feature{Kind: quarantiner.Part, ID: part.ID})
	}
	return features
}

// hasFeature reports whether a waiting request has a feature.
func hasFeature(waiter *balancer.Waiter, feature quarantiner.Feature) bool {
	if feature.Kind == quarantiner.Request {
		return waiter.Fingerprint == feature.ID
	}
	for _, part := range balancer.SharedParts(waiter.Request.Parts) {
		if part.ID == feature.ID {
			return true
		}
	}
	return false
}

// errQuarantined is returned for a request that is kept from replicas for one of its features.
var errQuarantined = eris.New("the request, or a part of its prompt, crashed replicas")

// checkFeatures returns the failure of a request that is kept from replicas, and whether it may be
// sent.
func (task *task) checkFeatures() (classifier.Failure, bool) {
	var decision quarantiner.Decision
	now := task.entry.settings.Clock.Now()
	task.entry.quarantine.with(func(table *quarantiner.Table) {
		decision = table.Check(task.features, task.entry.settings.Crashes.Rank, now)
	})
	if decision.Allowed() {
		return classifier.Failure{}, true
	}
	return task.refusalFor(decision), false
}

// refusalFor returns the failure for a request that is kept from replicas.
func (task *task) refusalFor(decision quarantiner.Decision) classifier.Failure {
	task.refused = decision
	detail := "a suspected " + decision.Refused.Kind.String() + " is on trial"
	wait := task.retryAfter() + min(decision.Wait, maxTrialWait)
	switch {
	case !decision.Final:
	case decision.Refused.Kind == quarantiner.Request:
		detail, wait = "the request crashed replicas", quarantinedRetryAfter
	default:
		detail, wait = "a part of the prompt crashed replicas", quarantinedRetryAfter
	}
	task.entry.meters.countKept(decision)
	return classifier.New(classifier.Overloaded, detail).WithRetryAfter(wait)
}

// admitFeatures checks at the moment of sending whether the request may be sent, and begins the trial
// of its suspected parts if it is one.
func (task *task) admitFeatures() bool {
	if len(task.trial) > 0 {
		return true
	}
	var decision quarantiner.Decision
	now := task.entry.settings.Clock.Now()
	task.entry.quarantine.with(func(table *quarantiner.Table) {
		decision = table.Admit(task.features, task.entry.settings.Crashes.Rank, now)
	})
	if !decision.Allowed() {
		task.refused = decision
		return false
	}
	if task.trial = decision.Trial; len(task.trial) > 0 {
		task.entry.settings.Crashes.OnTrial(task.trial)
		for _, feature := range task.trial {
			task.entry.logFeature(feature, logrus.Fields{"request-id": task.call.ID, labelReplica: task.replica}).
				Info("trial of a suspected " + feature.Kind.String() + " begins")
		}
	}
	return true
}

// mayRepeat reports whether the request may be tried again after it broke off.
func (task *task) mayRepeat() (allowed bool) {
	now := task.entry.settings.Clock.Now()
	task.entry.quarantine.with(func(table *quarantiner.Table) { allowed = table.MayRepeat(task.features, now) })
	return allowed
}

// survive records that an answer on the parts of the prompt has ended. Before that the replica may still crash,
// however long the answer has gone on.
func (task *task) survive() {
	task.trial = nil
	var cleared []quarantiner.Feature
	urgent := false
	now := task.entry.settings.Clock.Now()
	task.entry.quarantine.with(func(table *quarantiner.Table) { cleared, urgent = table.Survive(task.features[1:], now) })
	if len(cleared) == 0 {
		return
	}
	task.entry.settings.Crashes.OnSurvival(cleared, urgent)
	if urgent {
		for _, part := range cleared {
			task.entry.logFeature(part, logrus.Fields{"request-id": task.call.ID, labelReplica: task.replica}).Info("suspected part cleared")
		}
	}
}

// endTrial ends a trial that has shown nothing. The trial of a request that may have run goes on until it is known
// whether the replica outlives it.
func (task *task) endTrial(ran bool) {
	trial := task.trial
	task.trial = nil
	if ran {
		trial = partsOf(trial)
	}
	if len(trial) == 0 {
		return
	}
	now := task.entry.settings.Clock.Now()
	task.entry.quarantine.with(func(table *quarantiner.Table) { table.EndTrial(trial, now) })
}

// partsOf returns the features that are parts of prompts.
func partsOf(features []quarantiner.Feature) []quarantiner.Feature {
	return slices.DeleteFunc(slices.Clone(features), func(feature quarantiner.Feature) bool { return feature.Kind != quarantiner.Part })
}

// recordCrash records that a replica crashed while a request was in flight, and tells the peers. The planned end
// of a replica is no crash.
func (entry *Entry) recordCrash(replica balancer.Replica, features []quarantiner.Feature) {
	if entry.leaves(replica) {
		return
	}
	incarnation := replica.Incarnation()
	if struck := entry.RecordCrash(incarnation, features, ""); len(struck) > 0 {
		entry.settings.Crashes.OnCrash(incarnation, struck[:min(len(struck), 1+maxToldParts)])
	}
}

// concludeTrial ends a trial at whose replica an answer broke off. If the replica has crashed, parts
// are quarantined once the peers have told what they had in flight there.
func (entry *Entry) concludeTrial(trial []quarantiner.Feature, incarnation string, crashed bool) {
	trial = partsOf(trial)
	if len(trial) == 0 {
		return
	}
	if crashed {
		_ = entry.settings.Clock.Sleep(context.Background(), tellTime)
	}
	var convicted []quarantiner.Quarantine
	var ambiguous []quarantiner.Feature
	now := entry.settings.Clock.Now()
	entry.quarantine.with(func(table *quarantiner.Table) {
		if crashed {
			convicted, ambiguous = table.Convict(trial, incarnation, now)
			return
		}
		table.EndTrial(trial, now)
	})
	if len(ambiguous) > 0 {
		entry.settings.Crashes.OnFailedTrial(incarnation, ambiguous)
	}
	for _, quarantine := range convicted {
		entry.applyQuarantine(quarantine, "trial")
		entry.settings.Crashes.OnQuarantine(quarantine)
	}
}
