package main

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/simulator"
)

func TestReadSweep(t *testing.T) {
	valid := simulator.Sweep{Site: simulator.Kitchen(), Seeds: 1, Slow: 1}
	hot := valid
	hot.Hot = 2
	none := valid
	none.Seeds = 0
	tests := []struct {
		name            string
		sweep           simulator.Sweep
		loads, policies string
		fault           string
	}{
		{"valid flags", valid, "0.5, 2", "fleet,random", ""},
		{"all policies", valid, "1", "", ""},
		{"a load that is not a number", valid, "1,x", "", `load "x"`},
		{"a load of zero", valid, "0", "", `load "0"`},
		{"an unknown policy", valid, "1", "fleet,odd", `policy "odd"`},
		{"zero seeds", none, "1", "", "seeds is 0"},
		{"a hot share above 1", hot, "1", "", "hot is"},
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

func TestSiteSizeFill(t *testing.T) {
	tests := []struct {
		name    string
		size    siteSize
		entries int
		fault   string
	}{
		{"kitchen", siteSize{name: "kitchen"}, 4, ""},
		{"halls", siteSize{name: "halls"}, 31, ""},
		{"halls with fewer entries", siteSize{name: "halls", entries: 8}, 8, ""},
		{"an unknown site", siteSize{name: "barn"}, 0, `site "barn"`},
		{"a negative number of engines", siteSize{name: "halls", engines: -1}, 0, "at least 1"},
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
