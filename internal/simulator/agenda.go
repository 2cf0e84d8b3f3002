package simulator

// event is something that happens at an instant.
type event struct {
	at     float64
	number int
	do     func(now float64)
}

// agenda is a heap of events.
type agenda []event

func (agenda agenda) Len() int { return len(agenda) }
func (agenda agenda) Less(i, j int) bool {
	if agenda[i].at == agenda[j].at {
		return agenda[i].number < agenda[j].number
	}
	return agenda[i].at < agenda[j].at
}
func (agenda agenda) Swap(i, j int) { agenda[i], agenda[j] = agenda[j], agenda[i] }

// Push and Pop are for package container/heap.
func (agenda *agenda) Push(item any) { *agenda = append(*agenda, item.(event)) }

// Pop removes the last item.
func (agenda *agenda) Pop() any {
	last := len(*agenda) - 1
	item := (*agenda)[last]
	*agenda = (*agenda)[:last]
	return item
}
