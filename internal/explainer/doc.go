// Package explainer tells the story of one request from the logs of several
// processes: what was decided about it, by what, and what the processes believed
// about its replicas at that time.
//
// Logs are JSON, one object a line. Lines that are none are passed over and
// counted. The order is by time; processes on instances whose time of day
// differs may stand out of order by as much.
package explainer
