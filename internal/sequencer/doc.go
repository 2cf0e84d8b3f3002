// Package sequencer orders the states of the platform's store.
//
// The store numbers its changes, and may come back from a copy that is some seconds old. It
// then lacks its latest changes and gives their numbers out again; its era, which rises by one
// each time, tells the two histories apart. So a state is identified by era and number together,
// and that of a later era is newer whatever the numbers are, as views and operation numbers
// order the log of a replicated service (Oki and Liskov, "Viewstamped Replication", 1988).
package sequencer
