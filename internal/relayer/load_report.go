package relayer

import (
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// LoadFault is what is wrong with a load report. Its values are those of a metric's label, so
// dialects use only the constants.
type LoadFault string

const (
	// NoLoadFault means that the report is valid, or that there is none.
	NoLoadFault LoadFault = ""
	// TooFewFigures means that figures are missing, so that the load is not known.
	TooFewFigures LoadFault = "too-few-figures"
	// InvalidFigure means that one of the first three figures is invalid, so that the load is not known.
	InvalidFigure LoadFault = "invalid-figure"
	// InvalidSlowdown means that only the slowdown is not known.
	InvalidSlowdown LoadFault = "invalid-slowdown"
	// FurtherFigures means that the report has more figures than are known; those known are used.
	FurtherFigures LoadFault = "further-figures"
)

// label returns the value of the label "fault".
func (fault LoadFault) label() string {
	if fault == NoLoadFault {
		return "none"
	}
	return string(fault)
}

// faultLogInterval is the shortest time between two log lines on the same kind of fault. Replicas
// report with each answer, so a fault of their software would otherwise fill the log.
const faultLogInterval = timekeeper.Minute

// faultLog limits the log lines on load reports.
type faultLog struct {
	mu     sync.Mutex
	logged map[LoadFault]timekeeper.Instant
}

// admits reports whether a fault may be logged, and records that it is.
func (faults *faultLog) admits(fault LoadFault, now timekeeper.Instant) bool {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	last, found := faults.logged[fault]
	if found && now.Since(last) < faultLogInterval {
		return false
	}
	if faults.logged == nil {
		faults.logged = map[LoadFault]timekeeper.Instant{}
	}
	faults.logged[fault] = now
	return true
}

// recordLoad records and counts the load that a replica reports in the head of an answer, and logs
// what of it can't be used.
func (entry *Entry) recordLoad(replica balancer.Replica, head Head, fields logrus.Fields, now timekeeper.Instant) {
	if head.Load != nil {
		entry.settings.Fleet.With(func(fleet *balancer.Fleet) { fleet.RecordReport(replica.ID, *head.Load, now) })
	}
	if head.Load == nil && head.LoadFault == NoLoadFault {
		return
	}
	entry.meters.countLoadReport(replica.Service, head.LoadFault)
	if head.LoadFault != NoLoadFault && entry.loadFaults.admits(head.LoadFault, now) {
		entry.settings.Log.WithFields(fields).WithField("fault", head.LoadFault.label()).Warn("load report can't be used as it is")
	}
}
