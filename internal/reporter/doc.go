// Package reporter keeps what a process believes about the replicas of each
// service: who is live, who is leaving, and how loaded each is.
//
// All of it is soft state. It comes from the platform's instance list, which
// lags, and from the digests that agents send of themselves, which are the
// authority about their own state.
package reporter
