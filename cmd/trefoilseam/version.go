package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// version is the release version; builds set it with -ldflags.
var version = "0.1.0-dev"

func versionCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "trefoilseam version",
		ShortHelp:  "print the version",
		FlagSet:    flag.NewFlagSet("trefoilseam version", flag.ContinueOnError),
		Exec: func(context.Context, []string) error {
			goVersion := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				goVersion = info.GoVersion
			}
			_, err := fmt.Fprintf(os.Stdout, "trefoilseam %s %s\n", version, goVersion)
			return err
		},
	}
}
