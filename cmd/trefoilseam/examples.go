package main

import (
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// example is how one command is called.
type example struct {
	// command is its name behind those of the commands above it.
	command string
	// line is the whole call.
	line string
}

// examples stand in the help of each command that does something itself.
var examples = []example{
	{"entry", "trefoilseam entry -direct -settings /etc/trefoilseam/entry.toml"},
	{"agent", "trefoilseam agent -settings /etc/trefoilseam/agent.toml"},
	{"dev", "trefoilseam dev -listen 127.0.0.1:8088 -log-level warn"},
	{"audit verify", "trefoilseam audit verify -platform http://127.0.0.1:7000"},
	{"audit report", "trefoilseam audit report -platform http://127.0.0.1:7000 -from 2026-12-01T00:00:00Z -html report.html"},
	{"config check", "trefoilseam config check -base base.toml -overlay addis=addis.toml"},
	{"config settings", "trefoilseam config settings -kind direct -settings entry.toml"},
	{"config render", "trefoilseam config render -base base.toml -overlay addis=addis.toml -site addis"},
	{"config diff", "trefoilseam config diff -base base.toml -platform http://127.0.0.1:7000"},
	{"config apply", "trefoilseam config apply -base base.toml -platform http://127.0.0.1:7000 -edited-from 12 -wait"},
	{"config status", "trefoilseam config status -platform http://127.0.0.1:7000"},
	{"config history", "trefoilseam config history -platform http://127.0.0.1:7000 -after 10"},
	{"strikes list", "trefoilseam strikes list -platform http://127.0.0.1:7000"},
	{"strikes lift", "trefoilseam strikes lift -platform http://127.0.0.1:7000 1334abce5fa53c03"},
	{"status", "trefoilseam status -admin 127.0.0.1:9090 -json"},
	{"explain", "trefoilseam explain 9c41d07be2a35f68 entry-1.log entry-2.log"},
	{"experiment", "trefoilseam experiment -site halls -digest 300 -loads 1,2 -policies fleet,rendezvous"},
	{"version", "trefoilseam version"},
}

// withExamples adds to the help of each command below root how it is called.
func withExamples(root *ffcli.Command) *ffcli.Command {
	for _, example := range examples {
		if command := find(root, strings.Fields(example.command)); command != nil {
			command.LongHelp = strings.TrimLeft(command.LongHelp+"\n\nExample:\n\n  "+example.line, "\n")
		}
	}
	return root
}

// find returns the command with a path below another one, or nil.
func find(command *ffcli.Command, path []string) *ffcli.Command {
	if len(path) == 0 {
		return command
	}
	for _, below := range command.Subcommands {
		if below.Name == path[0] {
			return find(below, path[1:])
		}
	}
	return nil
}
