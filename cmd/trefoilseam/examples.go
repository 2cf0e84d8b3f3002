package main

import (
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// example is a sample call of one command.
type example struct {
	// command is the path of the command below the root, such as "audit verify".
	command string
	// line is the complete command line.
	line string
}

// examples holds one call for the help of each command without subcommands.
var examples = []example{
	{"entry", "trefoilseam entry -direct -settings /etc/trefoilseam/entry.toml"},
	{"agent", "trefoilseam agent -settings /etc/trefoilseam/agent.toml"},
	{"dev", "trefoilseam dev -listen 127.0.0.1:8088 -log-level warn"},
	{"audit verify", "trefoilseam audit verify -platform http://127.0.0.1:7000"},
	{"audit report", "trefoilseam audit report -platform http://127.0.0.1:7000 -from 2026-12-01T00:00:00Z -html report.html"},
	{"audit crashes", "trefoilseam audit crashes entry-1.log entry-2.log"},
	{"audit streams", "trefoilseam audit streams entry-1.log entry-2.log"},
	{"quarantine list", "trefoilseam quarantine list -entry 10.1.0.40:7340"},
	{"quarantine lift", "trefoilseam quarantine lift -entry 10.1.0.40:7340 91bd3f06"},
	{"shares", "trefoilseam shares 10.1.0.40:7340 10.1.0.41:7340"},
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

// withExamples adds the examples to the help of the commands below root.
func withExamples(root *ffcli.Command) *ffcli.Command {
	for _, example := range examples {
		if command := findCommand(root, strings.Fields(example.command)); command != nil {
			command.LongHelp = strings.TrimLeft(command.LongHelp+"\n\nExample:\n\n  "+example.line, "\n")
		}
	}
	return root
}

// findCommand returns the command at path below command, or nil.
func findCommand(command *ffcli.Command, path []string) *ffcli.Command {
	if len(path) == 0 {
		return command
	}
	for _, child := range command.Subcommands {
		if child.Name == path[0] {
			return findCommand(child, path[1:])
		}
	}
	return nil
}
