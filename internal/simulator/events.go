package simulator

// event is an action at an instant of virtual time.
type event struct {
	at     float64
	number int
	do     func(now float64)
}

// events is a heap of events by time; events at one instant keep their order of creation.
type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if events[i].at == events[j].at {
		return events[i].number < events[j].number
	}
	return events[i].at < events[j].at
}
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push appends an item, as container/heap requires.
func (events *events) Push(item any) { *events = append(*events, item.(event)) }

// Pop removes the last item, as container/heap requires.
func (events *events) Pop() any {
	last := len(*events) - 1
	item := (*events)[last]
	*events = (*events)[:last]
	return item
}
