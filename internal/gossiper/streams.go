package gossiper

import (
	"net"

	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/resumer"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// SendStreams sends a peer a message about streams at once, in a datagram of its own. Entries that
// do not know of such messages drop it.
func (gossiper *Gossiper) SendStreams(peer string, message resumer.Message) {
	datagram, err := proto.Marshal(&encoder.PeerDigest{Streams: encodeStreams(message)})
	if err != nil {
		gossiper.settings.Log.WithError(err).Error("message about streams not encoded")
		return
	}
	gossiper.send(datagram, peer)
}

// send sends a datagram to a peer. One that can't be sent counts as lost.
func (gossiper *Gossiper) send(datagram []byte, peer string) {
	target, err := net.ResolveUDPAddr("udp", peer)
	if err != nil {
		return
	}
	if _, err := gossiper.settings.Conn.WriteTo(datagram, target); err == nil {
		gossiper.settings.Scope.Counter("peer-bytes-sent").Inc(int64(len(datagram)))
	}
}

func encodeStreams(message resumer.Message) *encoder.PeerStreams {
	streams := &encoder.PeerStreams{}
	for _, record := range message.Records {
		streams.Records = append(streams.Records, &encoder.PeerStreamRecord{
			Stream: uint64(record.Key), Service: record.Origin.Service, SoftwareVersion: record.Origin.SoftwareVersion,
			LeftMs: uint32(min(max(0, record.Lifetime), resumer.MaxLifetime)),
		})
	}
	for _, question := range message.Questions {
		streams.Questions = append(streams.Questions, &encoder.PeerStreamQuestion{Stream: uint64(question.Key), Service: question.Service})
	}
	for _, answer := range message.Answers {
		encoded := &encoder.PeerStreamAnswer{Stream: uint64(answer.Key), Known: answer.Known}
		if answer.Known {
			encoded.Service, encoded.SoftwareVersion = answer.Origin.Service, answer.Origin.SoftwareVersion
		} else {
			encoded.SoftwareVersion, encoded.OnlyMs = answer.Versions.Only, uint32(min(max(0, answer.Versions.For), resumer.HistorySpan))
			encoded.SeveralVersions = answer.Versions.Several
		}
		streams.Answers = append(streams.Answers, encoded)
	}
	return streams
}

func decodeStreams(streams *encoder.PeerStreams) resumer.Message {
	var message resumer.Message
	for _, record := range streams.Records {
		message.Records = append(message.Records, resumer.Record{
			Key: resumer.Key(record.Stream), Lifetime: timekeeper.Span(record.LeftMs),
			Origin: balancer.Origin{Service: record.Service, SoftwareVersion: record.SoftwareVersion},
		})
	}
	for _, question := range streams.Questions {
		message.Questions = append(message.Questions, resumer.Question{Key: resumer.Key(question.Stream), Service: question.Service})
	}
	for _, answer := range streams.Answers {
		decoded := resumer.Answer{Key: resumer.Key(answer.Stream), Known: answer.Known}
		if answer.Known {
			decoded.Origin = balancer.Origin{Service: answer.Service, SoftwareVersion: answer.SoftwareVersion}
		} else {
			decoded.Versions = resumer.Versions{
				Several: answer.SeveralVersions, Only: answer.SoftwareVersion, For: min(timekeeper.Span(answer.OnlyMs), resumer.HistorySpan),
			}
		}
		message.Answers = append(message.Answers, decoded)
	}
	return message
}
