package simulator

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSweepWritesTable(t *testing.T) {
	sweep := Sweep{Site: Kitchen(), Policies: []Policy{Fleet, Random}, Loads: []float64{0.5}, Seeds: 1}
	var out strings.Builder
	err := sweep.WriteTable(&out)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	Convey("the table has a header and a line for each policy and load", t, func() {
		So(err, ShouldBeNil)
		So(lines, ShouldHaveLength, 3)
		So(lines[0], ShouldContainSubstring, "rebuild")
		So(lines[1], ShouldContainSubstring, "fleet")
		So(lines[2], ShouldContainSubstring, "random")
	})
}

func ExampleRun() {
	report := Run(Settings{Site: Kitchen(), Load: 0.1, Seed: 1})
	fmt.Printf("%.2f of the worth\n", report.Worth)
	// Output: 1.00 of the worth
}
