// Package gossiper exchanges digests between entries several times a second. A digest holds
// the requests that an entry has in flight at each replica, the prompts that it sent to
// replicas, and the replicas that accept no connections.
//
// Digests are datagrams. Each replaces the previous one, so the next digest makes up for a
// lost one, and an unresponsive peer blocks nobody. All of it is soft state: a wrong or
// missing digest costs at worst a second prefill of a prompt, or a replica with slightly
// more than its share of requests.
//
// A digest also reports whether the store is failing. Entries that read the store on behalf
// of all add the changes that a read found and a summary of the list of replicas.
//
// While a service is contended, digests carry what callers ask of it, and the return times that
// refused callers were given; see docs/design/hard-load.md.
//
// Every entry sends to every peer, within a budget in bytes a second: with more peers or
// longer digests the interval grows, and each digest names the interval to the next one. An
// entry finds its peers in the platform's store when it starts, and afterwards in the
// digests of other peers; from then on it does not need the store.
package gossiper
