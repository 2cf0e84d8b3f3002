package reporter

import (
	"cmp"
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// ReplicaStatus is one replica's state as known to a process.
type ReplicaStatus struct {
	Service     string          `json:"service"`
	Name        string          `json:"name"`
	Site        string          `json:"site"`
	Address     string          `json:"address"`
	State       string          `json:"state"`
	Incarnation uint64          `json:"incarnation"`
	Sequence    uint64          `json:"sequence"`
	Revision    uint64          `json:"revision"`
	Load        int64           `json:"load"`
	Weight      float64         `json:"weight"`
	Age         timekeeper.Span `json:"age"`
	Listed      bool            `json:"listed"`
	Strikes     int             `json:"strikes"`
}

// Status returns the known state of every replica.
func (view *View) Status() []ReplicaStatus {
	view.mu.Lock()
	defer view.mu.Unlock()
	now := view.settings.Clock.Now()
	out := []ReplicaStatus{}
	for service, table := range view.tables {
		for _, row := range table.Rows() {
			out = append(out, ReplicaStatus{
				Service: service, Name: row.Name, Site: row.Site, Address: row.DialAddress(), State: StateOf(row),
				Incarnation: row.Incarnation, Sequence: row.Sequence, Revision: row.Revision, Load: row.Load,
				Weight: row.Weight(now), Age: now.Since(row.ReportedAt), Listed: row.Listed, Strikes: len(row.Strikes),
			})
		}
	}
	slices.SortFunc(out, func(a, b ReplicaStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return out
}
