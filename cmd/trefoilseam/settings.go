package main

import (
	"context"
	"fmt"
	"os"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/loader"
	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// settingsCommand returns the command that validates the settings of a process
// without starting it and prints them with defaults filled in.
func settingsCommand() *ffcli.Command {
	flags := configFlags("settings")
	kind := flags.String("kind", "direct", "the process: direct, entry or agent")
	file := flags.String("settings", "", "file with the settings of the process (TOML)")
	return subcommand(flags, "-kind KIND -settings FILE", "name every fault of a process's settings, or show them with their defaults",
		func(context.Context) error {
			if *file == "" {
				return eris.Wrap(errUsage, "name the settings with -settings FILE")
			}
			return showSettings(*kind, *file)
		})
}

func showSettings(kind, file string) error {
	switch kind {
	case "direct":
		return printSettings(loader.ReadDirect(file))
	case "entry":
		return printSettings(loader.ReadEntry(file))
	case "agent":
		return printSettings(loader.ReadAgent(file))
	}
	return eris.Wrapf(errUsage, "kind %q: direct, entry or agent", kind)
}

func printSettings[S any](settings S, faults resolver.Faults) error {
	if len(faults) > 0 {
		return faults
	}
	text, err := toml.Marshal(settings)
	if err != nil {
		return eris.Wrap(err, "settings")
	}
	_, err = fmt.Fprint(os.Stdout, string(text))
	return err
}
