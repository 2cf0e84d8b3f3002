package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	faulty := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(faulty, []byte("name = 7\nlisten = \"nowhere\"\nlissten = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	valid := filepath.Join(dir, "sound.toml")
	lines := "name = \"entry-1\"\ndata-centre = \"bole\"\nlisten = \"10.0.0.1:1\"\nready-listen = \"10.0.0.1:2\"\n" +
		"peer-listen = \"10.0.0.1:3\"\nstore = \"10.0.0.2:4\"\n"
	if err := os.WriteFile(valid, []byte(lines), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name string
		args []string
		want int
	}{
		{"no command", nil, exitUsage},
		{"an unknown command", []string{"nonsense"}, exitUsage},
		{"an unknown flag", []string{"entry", "-nope"}, exitUsage},
		{"no settings file given", []string{"entry"}, exitUsage},
		{"a settings file that does not exist", []string{"agent", "-settings", filepath.Join(dir, "none.toml")}, exitUsage},
		{"settings with faults", []string{"agent", "-settings", faulty}, exitUsage},
		{"help", []string{"dev", "-h"}, exitUsage},
		{"config settings: an unknown kind", []string{"config", "settings", "-kind", "door", "-settings", faulty}, exitUsage},
		{"config settings: settings with faults", []string{"config", "settings", "-settings", faulty}, exitUsage},
		{"config settings: valid settings", []string{"config", "settings", "-settings", valid}, 0},
		{"the version", []string{"version"}, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			So(execute(test.args), ShouldEqual, test.want)
		})
	}
}
