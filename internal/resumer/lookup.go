package resumer

import "github.com/trefoilseam/trefoilseam/internal/balancer"

// Finding is what is known of where a stream began.
type Finding struct {
	// Origin is zero if it isn't known.
	Origin balancer.Origin
	// Source is where the origin is known from, or why it isn't known.
	Source Source
	// Peer is the address of the peer that knew, if Source is FromPeer.
	Peer string
	// Asked and Answered count the peers that were asked, and those of them that answered.
	Asked, Answered int
}

// Source is where an origin is known from, or why it isn't known.
type Source string

// The sources. The first three come with an origin.
const (
	// FromRecord means that this entry has a record of the stream.
	FromRecord Source = "record"
	// FromPeer means that a peer has one.
	FromPeer Source = "peer"
	// FromOnlyVersion means that no other version can have begun the stream.
	FromOnlyVersion Source = "only-version"
	// ReusedID means that two streams had the same ID.
	ReusedID Source = "reused-id"
	// SeveralVersions means that there is no record, and several versions may have begun the stream.
	SeveralVersions Source = "several-versions"
	// Unanswered means that there is no record here, and that a peer didn't answer or none is live:
	// this entry may be cut off, and not know of a version.
	Unanswered Source = "unanswered"
	// ShortHistory means that there is no record, and that neither this entry nor one that it asked
	// has followed the list of replicas for long enough.
	ShortHistory Source = "short-history"
)

// lookup collects the answers of peers about one stream.
type lookup struct {
	question Question
	// pending are the peers that haven't answered.
	pending []string
	finding Finding
	// alone reports that the fleet has no other entry.
	alone bool
	// claims are what peers without a record have seen of the service.
	claims []Versions
}

func newLookup(question Question, peers []string, alone bool) *lookup {
	return &lookup{question: question, pending: peers, alone: alone, finding: Finding{Asked: len(peers)}}
}

// add records a peer's answer, and reports whether the lookup has ended: a peer knew, or all have
// answered.
func (lookup *lookup) add(peer string, answer Answer) (ended bool) {
	if lookup.finding.Source != "" {
		return true
	}
	rest := make([]string, 0, len(lookup.pending))
	for _, other := range lookup.pending {
		if other != peer {
			rest = append(rest, other)
		}
	}
	if len(rest) == len(lookup.pending) {
		return false
	}
	lookup.pending = rest
	lookup.finding.Answered++
	if answer.Known {
		lookup.finding.Origin, lookup.finding.Source, lookup.finding.Peer = answer.Origin, FromPeer, peer
		return true
	}
	lookup.claims = append(lookup.claims, answer.Versions)
	return len(rest) == 0
}

// conclude returns the finding, given what this entry has seen of the service itself.
func (lookup *lookup) conclude(own Versions) Finding {
	finding := lookup.finding
	if finding.Source == FromPeer {
		if !finding.Origin.Known() {
			finding.Origin, finding.Source = balancer.Origin{}, ReusedID
		}
		return finding
	}
	several, longest := own.Several, own.For
	for _, claim := range lookup.claims {
		several = several || claim.contradicts(own)
		longest = max(longest, claim.For)
	}
	switch {
	case len(lookup.pending) > 0 || finding.Asked == 0 && !lookup.alone:
		finding.Source = Unanswered
	case several:
		finding.Source = SeveralVersions
	case own.Only == "" || longest < HistorySpan:
		finding.Source = ShortHistory
	default:
		finding.Source = FromOnlyVersion
		finding.Origin = balancer.Origin{Service: lookup.question.Service, SoftwareVersion: own.Only}
	}
	return finding
}
