package assembler

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/trefoilseam/trefoilseam/internal/quarantiner"
	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// PathQuarantine serves the quarantined parts and requests to operators. A DELETE of one below it lifts its
// quarantine at all entries.
const PathQuarantine = "/v1/quarantine"

// QuarantineStatus is what an entry knows of a part of prompts, or of a request.
type QuarantineStatus struct {
	// Part is as the caller wrote it, or "request-" and the fingerprint of a request.
	Part string `json:"part"`
	// Ago is how long ago it was quarantined, or that was lifted.
	Ago    timekeeper.Span `json:"ago"`
	Lapses int             `json:"lapses"`
	Lifted bool            `json:"lifted"`
	// Incarnations are those that crashed with it, if this entry found that out.
	Incarnations []string `json:"incarnations,omitempty"`
}

// serveQuarantine serves PathQuarantine.
func (direct *Direct) serveQuarantine(w http.ResponseWriter, r *http.Request) {
	name, _ := strings.CutPrefix(strings.TrimPrefix(r.URL.Path, PathQuarantine), "/")
	switch {
	case r.Method == http.MethodGet && name == "":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(direct.quarantineStatus())
	case r.Method == http.MethodDelete && name != "":
		feature, err := parseFeature(name)
		if err != nil {
			http.Error(w, "part "+strconv.Quote(name)+" is not a hexadecimal number", http.StatusBadRequest)
			return
		}
		if !direct.frontend.Lift(feature, "operator") {
			http.Error(w, "part "+name+" is neither quarantined nor suspected", http.StatusNotFound)
			return
		}
		direct.peers.gossiper.SendQuarantine()
		direct.quarantines.trigger()
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// requestPrefix precedes the fingerprint of a request in QuarantineStatus.Part.
const requestPrefix = "request-"

// parseFeature parses QuarantineStatus.Part.
func parseFeature(name string) (quarantiner.Feature, error) {
	digits, isRequest := strings.CutPrefix(name, requestPrefix)
	id, err := strconv.ParseUint(digits, 16, 64)
	if isRequest {
		return quarantiner.Feature{Kind: quarantiner.Request, ID: id}, err
	}
	return quarantiner.Feature{Kind: quarantiner.Part, ID: id}, err
}

// formatFeature is the inverse of parseFeature.
func formatFeature(feature quarantiner.Feature) string {
	digits := strconv.FormatUint(feature.ID, 16)
	if feature.Kind == quarantiner.Request {
		return requestPrefix + digits
	}
	return digits
}

func (direct *Direct) quarantineStatus() []QuarantineStatus {
	now := direct.clock.Now()
	quarantined := direct.frontend.Quarantined()
	all := make([]QuarantineStatus, 0, len(quarantined))
	for _, quarantine := range quarantined {
		all = append(all, QuarantineStatus{
			Part: formatFeature(quarantine.Feature), Ago: now.Since(quarantine.Since), Lapses: quarantine.Lapses,
			Lifted: quarantine.Lifted, Incarnations: quarantine.Incarnations,
		})
	}
	return all
}
