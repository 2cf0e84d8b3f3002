// Package balancer decides which replica gets a request that an entry sends itself, and when a
// request is refused instead.
//
// A Fleet holds what the entry knows or estimates of each replica: its row in the platform's
// list, the requests in flight of this entry and its peers, the prompt parts that it should
// have cached, and the failures that were seen. A choice compares expected times: the prefill
// of uncached tokens, the pending tokens ahead, the load of the replica and its health. The
// entry's own choices count at once, so requests that arrive together don't all follow the same
// old report.
//
// Engines are ranked by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings
// to increase hit rates", 1998) of the deepest shared prompt part, and each position in this
// preference order has a cost. So requests for a part meet at one engine although they arrive
// at different entries, one of which may have just started. The bound on a replica's share
// follows "consistent hashing with bounded loads" (Mirrokni, Thorup and Zadimoghaddam, 2018).
//
// The package is decision logic: no I/O, no goroutines, no clock. A Fleet is not safe for
// concurrent use; its owner holds a lock around it.
package balancer
