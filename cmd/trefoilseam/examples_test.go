package main

import (
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	. "github.com/smartystreets/goconvey/convey"
)

// leaves returns the paths of the commands that do something themselves.
func leaves(command *ffcli.Command, path []string) []string {
	if len(command.Subcommands) == 0 {
		return []string{strings.Join(path, " ")}
	}
	var out []string
	for _, below := range command.Subcommands {
		out = append(out, leaves(below, append(path[:len(path):len(path)], below.Name))...)
	}
	return out
}

func TestEachCommandShowsHowItIsCalled(t *testing.T) {
	// An operator asks for the help of a command at night. It shows a call, and the
	// call is one that the command takes.
	for _, path := range leaves(rootCommand(), nil) {
		Convey(path, t, func() {
			root := rootCommand()
			command := find(root, strings.Fields(path))
			_, line, found := strings.Cut(command.LongHelp, "Example:\n\n  trefoilseam ")
			So(found, ShouldBeTrue)
			So(line, ShouldStartWith, path)
			So(root.Parse(strings.Fields(line)), ShouldBeNil)
		})
	}
}

func TestEachExampleIsOfACommand(t *testing.T) {
	for _, example := range examples {
		Convey(example.command, t, func() {
			So(find(rootCommand(), strings.Fields(example.command)), ShouldNotBeNil)
		})
	}
}
