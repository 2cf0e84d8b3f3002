// Package explainer builds the timeline of one request from the logs of several
// processes: the decisions about the request, the process that made each, and the
// states of its replicas that the processes logged at that time.
//
// Logs are JSON, one object per line, or logfmt. Other lines are skipped and counted.
// Lines are sorted by their timestamps, so lines of instances whose clocks differ may
// be out of order by the clock difference.
package explainer
