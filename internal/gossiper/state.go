package gossiper

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/trefoilseam/trefoilseam/internal/balancer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
)

// State returns what this entry knows that a restored store may lack, for an entry that starts:
// the version of its configuration, the era of the store, the evacuations, the quarantined parts and what it
// retains.
func (gossiper *Gossiper) State() ([]byte, error) {
	era, _ := gossiper.settings.StoreEras()
	evacuations, _ := gossiper.settings.Evacuations()
	quarantined, now := gossiper.settings.Quarantined(), gossiper.settings.Clock.Now()
	text, err := proto.Marshal(&encoder.PeerDigest{
		Incarnation: gossiper.settings.Incarnation, Configuration: gossiper.settings.Version(), StoreEra: era,
		Retention: encodeRetention(gossiper.settings.Retention()), Evacuations: encodeEvacuations(evacuations),
		Quarantined:         encodeQuarantined(quarantiner.Part, quarantined, now),
		QuarantinedRequests: encodeQuarantined(quarantiner.Request, quarantined, now),
	})
	return text, eris.Wrap(err, "state for a peer")
}

// DecodeState decodes the State of the peer at an address.
func (gossiper *Gossiper) DecodeState(text []byte, address string) (Digest, error) {
	message := &encoder.PeerDigest{}
	if err := proto.Unmarshal(text, message); err != nil {
		return Digest{}, eris.Wrapf(err, "state of peer %s", address)
	}
	_, firstEra := gossiper.settings.StoreEras()
	return decodeDigest(message, address, firstEra, gossiper.settings.Clock.Now()), nil
}

func encodeEvacuations(evacuations balancer.Evacuations) *encoder.PeerEvacuations {
	return &encoder.PeerEvacuations{
		Era: evacuations.Version.Era, Version: evacuations.Version.Number, DataCentres: evacuations.DataCentres,
	}
}
