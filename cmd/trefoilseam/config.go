package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/resolver"
)

// files holds the flags that name a base file and its overlays.
type files struct {
	base     string
	overlays []string
}

func (files *files) register(flags *flag.FlagSet, prefix string) {
	flags.StringVar(&files.base, prefix+"base", "", "the base file (TOML)")
	flags.Func(prefix+"overlay", "an overlay as SITE=FILE, or FILE with the key site; may be given again", func(value string) error {
		files.overlays = append(files.overlays, value)
		return nil
	})
}

// read loads the files. It reports all unreadable files and all overlays without a site
// together.
func (files *files) read() (resolver.Sources, error) {
	if files.base == "" {
		return resolver.Sources{}, eris.Wrap(errUsage, "name the base file with -base FILE")
	}
	var faults resolver.Faults
	load := func(file string) resolver.Source {
		text, err := os.ReadFile(file)
		if err != nil {
			faults = append(faults, resolver.Fault{File: file, Reason: err.Error(), Remedy: "name a file that can be read"})
		}
		return resolver.Source{File: file, Text: text}
	}
	sources := resolver.Sources{Base: load(files.base)}
	for _, overlay := range files.overlays {
		site, file, ok := strings.Cut(overlay, "=")
		if !ok {
			file = overlay
		}
		source := load(file)
		if !ok {
			if site, ok = resolver.SiteOf(source); !ok {
				faults = append(faults, resolver.Fault{
					File: file, Reason: "the overlay doesn't say which site it is for",
					Remedy: `add site = "NAME" at its top, or name it as -overlay SITE=FILE`,
				})
			}
		}
		sources.Overlays = append(sources.Overlays, resolver.Overlay{Site: site, Source: source})
	}
	if len(faults) > 0 {
		return sources, faults
	}
	return sources, nil
}

// checked loads and validates the files, and returns every fault in them.
func (files *files) checked() (resolver.Sources, error) {
	sources, err := files.read()
	if err != nil {
		return sources, err
	}
	if faults := sources.Check(); len(faults) > 0 {
		return sources, faults
	}
	return sources, nil
}

// subcommand returns a command below config; flags names it and holds its flags.
func subcommand(flags *flag.FlagSet, usage, help string, exec func(ctx context.Context) error) *ffcli.Command {
	name := flags.Name()[strings.LastIndex(flags.Name(), " ")+1:]
	return &ffcli.Command{
		Name:       name,
		ShortUsage: flags.Name() + " " + usage,
		ShortHelp:  help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return eris.Wrapf(errUsage, "%q is not a flag of %s", args[0], flags.Name())
			}
			return exec(ctx)
		},
	}
}

func configFlags(name string) *flag.FlagSet {
	return flag.NewFlagSet("trefoilseam config "+name, flag.ContinueOnError)
}

func configCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "config",
		ShortUsage: "trefoilseam config <check|settings|render|diff|apply|status|history> [flags]",
		ShortHelp:  "check, accept and follow the configuration of the fleet",
		FlagSet:    flag.NewFlagSet("trefoilseam config", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			checkCommand(), settingsCommand(), renderCommand(), diffCommand(), applyCommand(), configStatusCommand(), historyCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return eris.Wrapf(errUsage, "unknown command %q of config", args[0])
			}
			return flag.ErrHelp
		},
	}
}

func checkCommand() *ffcli.Command {
	flags := configFlags("check")
	var inputs files
	inputs.register(flags, "")
	return subcommand(flags, "-base FILE [-overlay SITE=FILE ...]", "name every fault of the files", func(context.Context) error {
		sources, err := inputs.checked()
		if err != nil {
			return err
		}
		_, err = fmt.Printf("sound: the base and %d overlays\n", len(sources.Overlays))
		return err
	})
}

func renderCommand() *ffcli.Command {
	flags := configFlags("render")
	var inputs files
	inputs.register(flags, "")
	site := flags.String("site", "", "the site whose configuration is shown; empty shows the base")
	return subcommand(flags, "-base FILE [-overlay SITE=FILE ...] -site SITE", "show what is in force at a site, and where each value is from",
		func(context.Context) error {
			sources, err := inputs.checked()
			if err != nil {
				return err
			}
			resolved, faults := sources.Resolve(*site)
			if len(faults) > 0 {
				return faults
			}
			if _, ok := resolved.Config.Sites[*site]; !ok && *site != "" {
				return eris.Wrapf(errUsage, "the base has no site %q", *site)
			}
			_, err = fmt.Print(resolved.Render())
			return err
		})
}
