// Package explainer reads the logs of several processes. It builds the timeline of one
// request: the decisions about the request, the process that made each, and the states of
// its replicas that the processes logged at that time. It also checks that streams went on
// at the software version that began them (CheckStreams).
//
// Logs are JSON, one object per line, or logfmt. Other lines are skipped and counted.
// Lines are sorted by their timestamps, so lines of instances whose clocks differ may
// be out of order by the clock difference.
package explainer
