// Package load puts the decisions about placement, admission and retries
// through whole workloads in virtual time, beside simpler policies under the
// same seed. Replicas are a controller, a directory and a small cache of prefixes;
// everything that decides is the code that entries and agents run.
package load
