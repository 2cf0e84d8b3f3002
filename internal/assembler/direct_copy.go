package assembler

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/follower"
	"github.com/trefoilseam/trefoilseam/internal/gossiper"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

const (
	// askedPeers is how many peers are asked for their list at a time, since one may be gone or as
	// old as this entry's.
	askedPeers = 2
	// silentPeerTimeout is for how long a silent peer is asked if none is live: it may be reachable
	// again before its digest arrives.
	silentPeerTimeout = timekeeper.Minute
)

// Headers of a list of replicas from a peer. A peer that doesn't know one leaves it out.
const (
	// headerListAge is how long ago the list was known to be the store's, in milliseconds.
	headerListAge = "List-Age-Ms"
	// headerStoreServed is for how long the store has served entries without a gap.
	headerStoreServed = "Store-Served-Ms"
	// headerListEra and headerListNumber are the version of the list.
	headerListEra, headerListNumber = "List-Era", "List-Number"
	// parameterSum is the checksum of the list that the asking peer has.
	parameterSum = "sum"
)

// errNoReplicaList is returned if no peer could be asked or none has a list of replicas.
var errNoReplicaList = eris.New("no peer has a list of replicas")

// fetchReplicaList asks peers for their list of replicas, some at a time, until one answers, and
// returns the list that was confirmed last.
func (peers *peers) fetchReplicaList(ctx context.Context, have follower.Summary) (follower.Copy[balancer.Replica], error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout.Duration())
	defer cancel()
	for asked := range slices.Chunk(peers.listSources(), askedPeers) {
		if copies := peers.askForLists(ctx, asked, have); len(copies) > 0 {
			return follower.NewestCopy(copies), nil
		}
	}
	return follower.Copy[balancer.Replica]{}, errNoReplicaList
}

// listSources returns the peers to ask, in order: the reader that sent a list summary last, then the
// others.
func (peers *peers) listSources() []string {
	addresses := peers.gossiper.LivePeers()
	if len(addresses) == 0 {
		addresses = peers.gossiper.KnownPeers(silentPeerTimeout)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	if reader := slices.Index(addresses, peers.election.lastReader()); reader > 0 {
		addresses[0], addresses[reader] = addresses[reader], addresses[0]
	}
	return addresses
}

// askForLists asks peers at once and returns their answers.
func (peers *peers) askForLists(ctx context.Context, asked []string, have follower.Summary) []follower.Copy[balancer.Replica] {
	ctx, cancel := context.WithTimeout(ctx, peers.direct.listBound().PeerAttempt().Duration())
	defer cancel()
	var mu sync.Mutex
	var copies []follower.Copy[balancer.Replica]
	var waiting sync.WaitGroup
	for _, address := range asked {
		waiting.Go(func() {
			copied, err := peers.askForList(ctx, address, have)
			if err != nil {
				peers.direct.log.WithFields(logrus.Fields{labelPeer: address, labelCause: err.Error()}).Debug("no list of replicas from a peer")
				return
			}
			mu.Lock()
			defer mu.Unlock()
			copies = append(copies, copied)
		})
	}
	waiting.Wait()
	return copies
}

// askForList asks a peer for its list of replicas. The list counts as confirmed by the time of the
// question, since the answer may have waited on its way.
func (peers *peers) askForList(ctx context.Context, address string, have follower.Summary) (follower.Copy[balancer.Replica], error) {
	sentAt := peers.direct.clock.Now()
	query := url.Values{parameterSum: {strconv.FormatUint(have.Sum, 16)}}
	answer, err := peers.get(ctx, address, pathReplicas+"?"+query.Encode())
	if err != nil {
		return follower.Copy[balancer.Replica]{}, err
	}
	var copied follower.Copy[balancer.Replica]
	switch answer.status {
	case http.StatusOK:
		copied, err = peers.decodeReplicaList(answer.body)
	case http.StatusNotModified:
		copied.Same = true
		copied.Version, err = decodeListVersion(answer.header)
	default:
		err = eris.Errorf("status %d", answer.status)
	}
	if err != nil {
		return follower.Copy[balancer.Replica]{}, err
	}
	peers.direct.learnEra(copied.Version.Era, "peer "+address)
	_, firstEra := peers.direct.eras.Known()
	copied.Version = copied.Version.InEra(firstEra)
	if age, known := readSpan(answer.header, headerListAge); known {
		copied.Confirmation = follower.Confirmation{At: sentAt.Add(-age), From: address}
	}
	if served, known := readSpan(answer.header, headerStoreServed); known {
		copied.ServedSince = sentAt.Add(-served)
	}
	return copied, nil
}

// decodeReplicaList decodes the list of replicas of a peer.
func (peers *peers) decodeReplicaList(text []byte) (follower.Copy[balancer.Replica], error) {
	list, err := gossiper.DecodeReplicas(text, peers.direct.clock.Now())
	if err != nil {
		return follower.Copy[balancer.Replica]{}, err
	}
	copied := follower.Copy[balancer.Replica]{Version: list.Version}
	for _, replica := range list.Replicas {
		copied.Rows = append(copied.Rows, follower.Change[balancer.Replica]{Key: replica.ID, Value: replica, LapsesIn: list.LapsesIn[replica.ID]})
	}
	return copied, nil
}

func decodeListVersion(header http.Header) (follower.Version, error) {
	era, err := strconv.ParseUint(header.Get(headerListEra), 10, 64)
	if err != nil {
		return follower.Version{}, eris.Wrap(err, headerListEra)
	}
	number, err := strconv.ParseUint(header.Get(headerListNumber), 10, 64)
	return follower.Version{Era: era, Number: number}, eris.Wrap(err, headerListNumber)
}

// readSpan reads a span in milliseconds; false means that the header is missing or invalid.
func readSpan(header http.Header, name string) (timekeeper.Span, bool) {
	milliseconds, err := strconv.ParseUint(header.Get(name), 10, 32)
	return timekeeper.Span(milliseconds), err == nil
}

// hasSameList writes the headers of this entry's list of replicas, and reports whether the asking peer
// has the same one.
func (peers *peers) hasSameList(w http.ResponseWriter, r *http.Request) bool {
	sum, err := strconv.ParseUint(r.URL.Query().Get(parameterSum), 16, 64)
	if err != nil {
		return false
	}
	summary, same := peers.direct.replicas.CompareSum(sum)
	now := peers.direct.clock.Now()
	w.Header().Set(headerListEra, strconv.FormatUint(summary.Version.Era, 10))
	w.Header().Set(headerListNumber, strconv.FormatUint(summary.Version.Number, 10))
	if summary.At != 0 {
		w.Header().Set(headerListAge, strconv.FormatInt(int64(now.Since(summary.At)), 10))
	}
	if served := peers.storeServedSince(); served != 0 {
		w.Header().Set(headerStoreServed, strconv.FormatInt(int64(now.Since(served)), 10))
	}
	return same
}

// encodeReplicaList returns the list of replicas for a peer, or nil if there is none. The rows of
// the copy may be older than the notices of replicas that turned cold.
func (peers *peers) encodeReplicaList() []byte {
	rows, version, known := peers.direct.replicas.Rows()
	if !known {
		return nil
	}
	list := gossiper.ReplicaList{Version: version, LapsesIn: map[string]timekeeper.Span{}}
	peers.direct.fleet.With(func(fleet *balancer.Fleet) {
		for _, row := range rows {
			replica := row.Value
			replica.WarmAt = max(replica.WarmAt, fleet.WarmAt(replica.Key()))
			list.Replicas = append(list.Replicas, replica)
			list.LapsesIn[row.Key] = row.LapsesIn
		}
	})
	text, err := list.Encode(peers.direct.clock.Now())
	if err != nil {
		peers.direct.log.WithField(labelCause, err.Error()).Error("list of replicas can't be written for a peer")
		return nil
	}
	return text
}
