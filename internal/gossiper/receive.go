package gossiper

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/elector"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// maxDatagram is the longest digest that is received, in bytes.
const maxDatagram = 32 << 10

// Receive handles digests until the connection is closed.
func (gossiper *Gossiper) Receive() {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := gossiper.settings.Conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The network may report that one peer is unreachable; others can still send.
			gossiper.settings.Scope.Counter("peer-receive-errors").Inc(1)
			_ = gossiper.settings.Clock.Sleep(context.Background(), urgentInterval)
			continue
		}
		gossiper.handleRecovered(buffer[:size], from)
	}
}

// handleRecovered handles a datagram. One that meets a fault of this process is dropped, and doesn't end
// the process: anyone may send datagrams.
func (gossiper *Gossiper) handleRecovered(datagram []byte, from net.Addr) {
	defer func() {
		if cause := recover(); cause != nil {
			gossiper.settings.Scope.Counter("peer-digests-panicked").Inc(1)
			gossiper.settings.Log.WithFields(logrus.Fields{
				"peer": from.String(), "cause": fmt.Sprint(cause), "stack": string(debug.Stack()),
			}).Error("digest panicked")
		}
	}()
	gossiper.handleDatagram(datagram, from)
}

func (gossiper *Gossiper) handleDatagram(datagram []byte, from net.Addr) {
	message := &encoder.PeerDigest{}
	err := proto.Unmarshal(datagram, message)
	if err == nil && message.Streams != nil {
		gossiper.settings.OnStreams(from.String(), decodeStreams(message.Streams))
		return
	}
	if err != nil || message.Incarnation == 0 {
		gossiper.settings.Scope.Counter("peer-digests-malformed").Inc(1)
		return
	}
	now := gossiper.settings.Clock.Now()
	address := from.String()
	if gossiper.recordSender(message, address, now) {
		_, firstEra := gossiper.settings.StoreEras()
		digest := decodeDigest(message, address, firstEra, now)
		digest.SameDataCentre = message.DataCentre == DataCentreKey(gossiper.settings.DataCentre)
		gossiper.settings.OnDigest(digest)
	}
}

// recordSender records the sender of a digest and the peers that it introduces, and reports whether the
// digest is newer than those before.
func (gossiper *Gossiper) recordSender(message *encoder.PeerDigest, address string, now timekeeper.Instant) (newer bool) {
	gossiper.mu.Lock()
	defer gossiper.mu.Unlock()
	newer = gossiper.peers.receive(address, message.Incarnation, message.Sequence, now)
	if newer {
		gossiper.peers.setMember(elector.Member{
			Address: address, DataCentre: message.DataCentre, Failing: message.StoreFailing, Stopping: message.Stopping,
		})
	}
	for _, introduced := range message.Peers {
		if _, err := netip.ParseAddrPort(introduced); err == nil {
			gossiper.peers.add(introduced, now)
		}
	}
	return newer
}
