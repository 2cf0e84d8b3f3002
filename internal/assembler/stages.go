package assembler

import (
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

// stages are groups of actors that stop one after the other. The failure: all
// processes of a small site are told to stop together, and an upstream closes
// its door while a call is on its way to it. The symptom: calls in flight are
// refused or cut by a planned stop. In order, front first, each stage has let
// go of its calls before the next one stops.
type stages struct {
	groups []*run.Group
}

// errStageStopped ends the groups of a stage as planned.
var errStageStopped = eris.New("stage stopped")

// add returns a new stage that stops after all earlier ones.
func (stages *stages) add() *run.Group {
	group := &run.Group{}
	stages.groups = append(stages.groups, group)
	return group
}

// addTo adds one actor that runs all stages to a group.
func (stages *stages) addTo(group *run.Group) {
	stop := make(chan struct{})
	group.Add(func() error { return stages.run(stop) }, func(error) { close(stop) })
}

// running is a stage that has been started.
type running struct {
	stop chan struct{}
	done chan error
}

func (stages *stages) run(stop <-chan struct{}) error {
	started := make([]running, len(stages.groups))
	failed := make(chan struct{}, len(stages.groups))
	for i, group := range stages.groups {
		started[i] = start(group, failed)
	}
	select {
	case <-stop:
	case <-failed:
	}
	var first error
	for _, stage := range started {
		close(stage.stop)
		if err := <-stage.done; err != nil && !eris.Is(err, errStageStopped) && first == nil {
			first = err
		}
	}
	return first
}

func start(group *run.Group, failed chan<- struct{}) running {
	stage := running{stop: make(chan struct{}), done: make(chan error, 1)}
	ended := make(chan struct{})
	group.Add(func() error {
		select {
		case <-stage.stop:
		case <-ended:
		}
		return errStageStopped
	}, func(error) { close(ended) })
	go func() {
		err := group.Run()
		failed <- struct{}{}
		stage.done <- err
	}()
	return stage
}
