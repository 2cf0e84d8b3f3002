package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/simulator"
)

func TestFlagsOfAnExperiment(t *testing.T) {
	sound := simulator.Sweep{Site: simulator.Kitchen(), Seeds: 1, Slow: 1}
	hot := sound
	hot.Hot = 2
	none := sound
	none.Seeds = 0
	tests := []struct {
		name            string
		sweep           simulator.Sweep
		loads, policies string
		fault           string
	}{
		{"sound", sound, "0.5, 2", "fleet,random", ""},
		{"all policies", sound, "1", "", ""},
		{"a load that is none", sound, "1,x", "", `load "x"`},
		{"a load of nothing", sound, "0", "", `load "0"`},
		{"a policy that is unknown", sound, "1", "fleet,odd", `policy "odd"`},
		{"no seeds", none, "1", "", "seeds is 0"},
		{"more than all about one thing", hot, "1", "", "hot is"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			err := readSweep(&test.sweep, test.loads, test.policies)
			if test.fault == "" {
				So(err, ShouldBeNil)
				So(test.sweep.Policies, ShouldNotBeEmpty)
				return
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, test.fault)
		})
	}
}

func TestTheSizeOfAnExperiment(t *testing.T) {
	tests := []struct {
		name    string
		size    siteSize
		entries int
		fault   string
	}{
		{"a kitchen", siteSize{name: "kitchen"}, 4, ""},
		{"halls", siteSize{name: "halls"}, 31, ""},
		{"halls with fewer entries", siteSize{name: "halls", entries: 8}, 8, ""},
		{"a site that is unknown", siteSize{name: "barn"}, 0, `site "barn"`},
		{"less than no engine", siteSize{name: "halls", engines: -1}, 0, "at least 1"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			var sweep simulator.Sweep
			err := test.size.fill(&sweep)
			if test.fault == "" {
				So(err, ShouldBeNil)
				So(sweep.Site.Entries, ShouldEqual, test.entries)
				return
			}
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, test.fault)
		})
	}
}
