package explainer

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// struckLine returns the log line of a part that was in flight at a crash.
func struckLine(second, incarnation int, part string) string {
	return fmt.Sprintf(`{"msg":"request struck","time":"2026-12-02T10:00:%02d.000Z","process":"entry-1","incarnation":"i-%d","part":%q}`+"\n",
		second, incarnation, part)
}

// brokenLine returns the log line of an attempt that broke off.
func brokenLine(second int, parts string) string {
	return fmt.Sprintf(`{"msg":"attempt failed","time":"2026-12-02T10:00:%02d.000Z","process":"entry-1","request-id":"r","replica":"i","parts":%q}`+"\n",
		second, parts)
}

// Guards against logs that don't show requests with a quarantined part which reach replicas.
func TestCheckCrashes(t *testing.T) {
	crashes := func(part string, count int) (lines string) {
		for number := range count {
			lines += struckLine(number, number, part) + struckLine(number, number, part)
		}
		return lines
	}
	quarantined := `{"msg":"part quarantined, it crashes replicas","time":"2026-12-02T10:00:06.000Z","process":"entry-1","part":"bad"}` + "\n"
	late := strings.Repeat(brokenLine(30, "root,bad"), 3)
	tests := []struct {
		name  string
		lines string
		held  bool
		text  string
	}{
		{"no crash", brokenLine(1, "root,bad"), true, ""},
		{"few crashes", crashes("bad", 4) + quarantined + late + late, true, "4 crashes, quarantined at 10:00:06.000, 0 attempts"},
		{"three late", crashes("bad", 5) + quarantined + late, true, "5 crashes, quarantined at 10:00:06.000, 3 attempts"},
		{"six late", crashes("bad", 5) + quarantined + late + late, false, "6 attempts broke off late"},
		{"in the time that messages take", crashes("bad", 5) + quarantined + strings.Repeat(brokenLine(7, "root,bad"), 9), true, "0 attempts"},
		{"a part that came along", crashes("root", 9) + late + late, true, "part root: in flight at 9 crashes, not quarantined"},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			report, err := CheckCrashes(strings.NewReader(test.lines + "hello\n"))
			So(err, ShouldBeNil)
			So(report.Skipped, ShouldEqual, 1)
			So(report.Held(), ShouldEqual, test.held)
			var text strings.Builder
			So(report.Write(&text), ShouldBeNil)
			So(text.String(), ShouldContainSubstring, test.text)
		})
	}
}
