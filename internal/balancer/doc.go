// Package balancer decides which replica gets a request that an entry sends
// itself, and when a request is refused instead.
//
// A Fleet holds what the entry believes of each replica: what the platform
// lists, what this entry and its peers have under way there, which prompt parts
// it should have cached, and whether it was seen to fail. A choice compares
// expected times: the uncached tokens to read, the tokens that wait in front,
// the crowd at the replica, and the doubt about it. Own choices count at once,
// so requests that arrive together don't all follow the same old report.
//
// Engines are ranked by rendezvous hashing (Thaler and Ravishankar, "Using
// name-based mappings to increase hit rates", 1998) of the deepest shared prompt
// part, and each place in this preference order has its price. So requests for a
// part meet at one engine although they came by different entries, one of which may
// have started just now. The bound on a replica's share follows "consistent hashing with
// bounded loads" (Mirrokni, Thorup and Zadimoghaddam, 2018).
//
// The package is decision logic: no I/O, no goroutines, no clock. A Fleet is
// not safe for concurrent use; its owner holds a lock around it.
package balancer
