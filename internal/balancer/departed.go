package balancer

// departed are the replicas that were removed from the list, of the last maxRetained removals. The
// zero value is empty.
type departed struct {
	latest map[string]removal
	// removals are in order, and count numbers them. A replica may be listed and removed again.
	removals []removal
	count    int
}

// removal is the removal of a replica from the list.
type removal struct {
	id          string
	incarnation incarnation
	number      int
}

func (departed *departed) add(row Replica) {
	if departed.latest == nil {
		departed.latest = map[string]removal{}
	}
	departed.count++
	added := removal{id: row.ID, incarnation: incarnationOf(row), number: departed.count}
	departed.latest[row.ID] = added
	departed.removals = append(departed.removals, added)
	if len(departed.removals) > maxRetained {
		departed.dropOldest()
	}
}

func (departed *departed) dropOldest() {
	oldest := departed.removals[0]
	departed.removals = departed.removals[1:]
	if departed.latest[oldest.id].number == oldest.number {
		delete(departed.latest, oldest.id)
	}
}

// remove forgets a replica that is listed again.
func (departed *departed) remove(id string) { delete(departed.latest, id) }
