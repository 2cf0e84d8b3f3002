// Command trefoilseam runs the processes of a router fleet for returning LLM chats
// (entries, which accept requests, and agents beside upstreams) and the tools of
// its operators.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// Exit codes.
const (
	exitFailed = 1
	// exitUsage reports faults in flags, settings or configuration.
	exitUsage = 2
)

// errUsage marks errors in the command line; they exit with exitUsage.
var errUsage = eris.New("usage")

func main() {
	os.Exit(execute(os.Args[1:]))
}

func execute(args []string) int {
	root := rootCommand()
	if err := root.Parse(args); err != nil {
		if !errors.Is(err, flag.ErrHelp) {
			fmt.Fprintln(os.Stderr, "trefoilseam:", err)
		}
		return exitUsage
	}
	return exitCode(root.Run(context.Background()))
}

func exitCode(err error) int {
	var faults resolver.Faults
	switch {
	case err == nil:
		return 0
	case errors.Is(err, flag.ErrHelp):
		return exitUsage
	case eris.As(err, &faults):
		fmt.Fprintln(os.Stderr, faults.Error())
		return exitUsage
	case eris.Is(err, errUsage):
		fmt.Fprintln(os.Stderr, "trefoilseam:", strings.TrimSuffix(err.Error(), ": "+errUsage.Error()))
		return exitUsage
	}
	fmt.Fprintln(os.Stderr, "trefoilseam:", err)
	return exitFailed
}

func rootCommand() *ffcli.Command {
	return withExamples(&ffcli.Command{
		Name:       "trefoilseam",
		ShortUsage: "trefoilseam <command> [flags]",
		ShortHelp:  "a router fleet for very many returning chats",
		FlagSet:    flag.NewFlagSet("trefoilseam", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			entryCommand(),
			agentCommand(),
			devCommand(),
			auditCommand(),
			configCommand(),
			strikesCommand(),
			quarantineCommand(),
			sharesCommand(),
			statusCommand(),
			explainCommand(),
			experimentCommand(),
			versionCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return eris.Wrapf(errUsage, "unknown command %q", args[0])
			}
			return flag.ErrHelp
		},
	})
}
