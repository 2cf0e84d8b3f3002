package assembler

import (
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

// stages are groups of actors that stop one after the other, in the order in which they
// were added: servers for callers first.
// If all processes of a small site stopped at once, an upstream could close its listener
// while a call is on the way to it, and a planned stop would refuse or cut off calls in
// flight. In order, the calls of each stage have ended before the next stage stops.
type stages struct {
	groups []*run.Group
}

// errStageStopped is the error with which the group of a stage ends in a planned stop.
var errStageStopped = eris.New("stage stopped")

// add returns a new stage that stops after all earlier ones.
func (stages *stages) add() *run.Group {
	group := &run.Group{}
	stages.groups = append(stages.groups, group)
	return group
}

// addTo adds to a group one actor that runs all stages.
func (stages *stages) addTo(group *run.Group) {
	stop := make(chan struct{})
	group.Add(func() error { return stages.run(stop) }, func(error) { close(stop) })
}

// startedStage is a stage that is running.
type startedStage struct {
	stop chan struct{}
	done chan error
}

func (stages *stages) run(stop <-chan struct{}) error {
	started := make([]startedStage, len(stages.groups))
	failed := make(chan struct{}, len(stages.groups))
	for i, group := range stages.groups {
		started[i] = startStage(group, failed)
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

func startStage(group *run.Group, failed chan<- struct{}) startedStage {
	stage := startedStage{stop: make(chan struct{}), done: make(chan error, 1)}
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
