package gossiper

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// encodeQuarantined returns the quarantined features of a kind with their ages. Each digest has all of them,
// so that an entry which was cut off or starts gets them with the first.
func encodeQuarantined(kind quarantiner.Kind, quarantined []quarantiner.Quarantine, now timekeeper.Instant) []*encoder.PeerQuarantine {
	var messages []*encoder.PeerQuarantine
	for _, one := range quarantined {
		if one.Feature.Kind != kind {
			continue
		}
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
	digest.Survived = slices.Concat(PartFeatures(message.SurvivedParts), requestFeatures(message.SurvivedRequests))
	digest.Tried = slices.Concat(PartFeatures(message.TriedParts), requestFeatures(message.TriedRequests))
	digest.Quarantined = slices.Concat(
		decodeQuarantined(quarantiner.Part, message.Quarantined, now), decodeQuarantined(quarantiner.Request, message.QuarantinedRequests, now),
	)
}

func decodeQuarantined(kind quarantiner.Kind, messages []*encoder.PeerQuarantine, now timekeeper.Instant) (quarantined []quarantiner.Quarantine) {
	for _, one := range messages {
		quarantined = append(quarantined, quarantiner.Quarantine{
			Feature: quarantiner.Feature{Kind: kind, ID: one.Part},
			Since:   now.Add(-timekeeper.Span(min(one.AgeMs, maxQuarantineAge))), Lapses: int(min(one.Lapses, maxLapses)), Lifted: one.Lifted,
		})
	}
	return quarantined
}

// maxLapses bounds the lapses of a quarantine in a digest.
const maxLapses = 1000

// maxQuarantineAge bounds the age of a quarantine in a digest, in milliseconds.
const maxQuarantineAge = uint64(1000 * timekeeper.Hour)

// PartFeatures returns the features of parts of prompts.
func PartFeatures(parts []uint64) []quarantiner.Feature { return featuresOf(quarantiner.Part, parts) }

// requestFeatures returns the features of requests with fingerprints.
func requestFeatures(fingerprints []uint64) []quarantiner.Feature {
	return featuresOf(quarantiner.Request, fingerprints)
}

func featuresOf(kind quarantiner.Kind, ids []uint64) []quarantiner.Feature {
	features := make([]quarantiner.Feature, len(ids))
	for i, id := range ids {
		features[i] = quarantiner.Feature{Kind: kind, ID: id}
	}
	return features
}

// idsOf returns the IDs of the features of a kind.
func idsOf(kind quarantiner.Kind, features []quarantiner.Feature) (ids []uint64) {
	for _, feature := range features {
		if feature.Kind == kind {
			ids = append(ids, feature.ID)
		}
	}
	return ids
}
