package main

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestBadCallsExitWithTwo(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.toml")
	if err := os.WriteFile(bad, []byte("name = 7\nlisten = \"nowhere\"\nlissten = \"x\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	sound := filepath.Join(dir, "sound.toml")
	lines := "name = \"entry-1\"\ndata-centre = \"bole\"\nlisten = \"10.0.0.1:1\"\nready-listen = \"10.0.0.1:2\"\n" +
		"peer-listen = \"10.0.0.1:3\"\nstore = \"10.0.0.2:4\"\n"
	if err := os.WriteFile(sound, []byte(lines), 0o600); err != nil {
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
		{"no settings", []string{"entry"}, exitUsage},
		{"settings that are not there", []string{"agent", "-settings", filepath.Join(dir, "none.toml")}, exitUsage},
		{"settings with faults", []string{"agent", "-settings", bad}, exitUsage},
		{"help", []string{"dev", "-h"}, exitUsage},
		{"settings of a kind that is unknown", []string{"config", "settings", "-kind", "door", "-settings", bad}, exitUsage},
		{"settings to check, with faults", []string{"config", "settings", "-settings", bad}, exitUsage},
		{"settings to check that are sound", []string{"config", "settings", "-settings", sound}, 0},
		{"the version", []string{"version"}, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			So(execute(test.args), ShouldEqual, test.want)
		})
	}
}
