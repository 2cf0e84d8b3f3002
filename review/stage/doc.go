// Package stage plays the users' platform on loopback for the cases of the review: the platform's
// store, replicas, clients, and the machines on which entries run as processes of their own.
//
// Entries are started with the command and the settings template of the deploy file. The store is
// the project's emulator. Replicas and clients behave as the users' pages say; each case adds the
// one disruption that it is about.
package stage
