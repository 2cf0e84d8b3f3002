package main

import (
	"strings"
	"testing"

	"github.com/peterbourgon/ff/v3/ffcli"
	. "github.com/smartystreets/goconvey/convey"
)

// leafCommands returns the paths of the commands without subcommands.
func leafCommands(command *ffcli.Command, path []string) []string {
	if len(command.Subcommands) == 0 {
		return []string{strings.Join(path, " ")}
	}
	var out []string
	for _, child := range command.Subcommands {
		out = append(out, leafCommands(child, append(path[:len(path):len(path)], child.Name))...)
	}
	return out
}

func TestEachCommandHasAnExampleThatParses(t *testing.T) {
	// An operator copies the example from the help of a command. Guards against
	// commands without an example, and examples with flags that the command rejects.
	for _, path := range leafCommands(rootCommand(), nil) {
		Convey(path, t, func() {
			root := rootCommand()
			command := findCommand(root, strings.Fields(path))
			_, line, found := strings.Cut(command.LongHelp, "Example:\n\n  trefoilseam ")
			So(found, ShouldBeTrue)
			So(line, ShouldStartWith, path)
			So(root.Parse(strings.Fields(line)), ShouldBeNil)
		})
	}
}

func TestEachExampleNamesACommand(t *testing.T) {
	for _, example := range examples {
		Convey(example.command, t, func() {
			So(findCommand(rootCommand(), strings.Fields(example.command)), ShouldNotBeNil)
		})
	}
}
