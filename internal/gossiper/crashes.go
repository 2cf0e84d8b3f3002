package gossiper

import (
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// encodeQuarantined returns the quarantined parts with their ages. Each digest has all of them, so
// that an entry which was cut off or starts gets them with the first.
func encodeQuarantined(quarantined []quarantiner.Quarantine, now timekeeper.Instant) []*encoder.PeerQuarantine {
	messages := make([]*encoder.PeerQuarantine, 0, len(quarantined))
	for _, one := range quarantined {
		messages = append(messages, &encoder.PeerQuarantine{
			Part: one.Feature.ID, AgeMs: uint64(max(0, now.Since(one.Since))), Lapses: uint32(max(0, one.Lapses)), Lifted: one.Lifted,
		})
	}
	return messages
}

// decodeCrashes decodes what a digest says about crashes.
func decodeCrashes(digest *Digest, message *encoder.PeerDigest, now timekeeper.Instant) {
	for _, crash := range message.Crashes {
		digest.Crashes = append(digest.Crashes, Crash{Incarnation: crash.Incarnation, Parts: crash.Parts, TriedParts: crash.TriedParts})
	}
	digest.SurvivedParts, digest.TriedParts = PartFeatures(message.SurvivedParts), PartFeatures(message.TriedParts)
	for _, one := range message.Quarantined {
		digest.Quarantined = append(digest.Quarantined, quarantiner.Quarantine{
			Feature: quarantiner.Feature{Kind: quarantiner.Part, ID: one.Part},
			Since:   now.Add(-timekeeper.Span(min(one.AgeMs, maxQuarantineAge))), Lapses: int(one.Lapses), Lifted: one.Lifted,
		})
	}
}

// maxQuarantineAge bounds the age of a quarantine in a digest, in milliseconds.
const maxQuarantineAge = uint64(1000 * timekeeper.Hour)

// PartFeatures returns the features of parts of prompts.
func PartFeatures(parts []uint64) []quarantiner.Feature {
	features := make([]quarantiner.Feature, len(parts))
	for i, part := range parts {
		features[i] = quarantiner.Feature{Kind: quarantiner.Part, ID: part}
	}
	return features
}
