package relayer

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/connector"
	"github.com/trefoilseam/trefoilseam/internal/validator"
)

// countFaultyAnswer counts an answer that was too long, broken off or invalid.
func (task *task) countFaultyAnswer(cause error) {
	var long connector.TooLongError
	if eris.As(cause, &long) {
		task.entry.meters.countLongAnswer(task.service, long.Part)
	}
	var broken validator.Error
	if eris.As(cause, &broken) {
		task.entry.meters.countBrokenAnswer(task.service, broken.Part)
	}
}

func (task *task) logAttempt(result attemptResult) {
	fields := logrus.Fields{
		"request-id": task.call.ID, labelReplica: result.replica.ID, labelService: result.replica.Service,
		"verdict": result.verdict.String(), "cause": result.causeText(),
	}
	if result.verdict == broken && result.replicaFailed {
		task.addBrokenFields(fields)
	}
	var long connector.TooLongError
	if eris.As(result.cause, &long) {
		fields["part"], fields["limit"] = long.Part.String(), long.Limit
	}
	var broken validator.Error
	if eris.As(result.cause, &broken) {
		fields["part"] = string(broken.Part)
	}
	task.entry.settings.Log.WithFields(fields).Info("attempt failed")
}

// addBrokenFields adds what requests that break off may have in common, and for how long the answer
// had been arriving.
func (task *task) addBrokenFields(fields logrus.Fields) {
	fields["fingerprint"] = formatID(task.features[0].ID)
	if len(task.call.Parts) > 0 {
		fields["parts"] = formatParts(task.call.Parts)
	}
	if task.startedPlacement == task.placement {
		fields["answering-ms"] = int64(task.entry.settings.Clock.Now().Since(task.answerStartedAt))
	}
}

// formatID returns an ID of a part or a fingerprint as logs show it.
func formatID(id uint64) string { return strconv.FormatUint(id, 16) }

// formatParts returns the IDs of parts as the caller wrote them, root first.
func formatParts(parts []balancer.Part) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = formatID(part.ID)
	}
	return strings.Join(ids, ",")
}
