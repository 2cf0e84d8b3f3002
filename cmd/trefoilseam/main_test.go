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
		{"the version", []string{"version"}, 0},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			So(execute(test.args), ShouldEqual, test.want)
		})
	}
}
