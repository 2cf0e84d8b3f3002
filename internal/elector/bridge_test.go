package elector_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/elector"
)

func TestEachSideOfACutHasAPrimary(t *testing.T) {
	// Guards against entries that hear no primary while two data centres can't reach each
	// other and a third one reaches both: each of them counts on an entry that sees more
	// members than they do and counts on others.
	const perCentre, trials = 8, 2000
	without := 0
	for trial := range trials {
		all := make([]elector.Member, 3*perCentre)
		for number := range all {
			all[number] = elector.Member{
				Address: fmt.Sprintf("10.%d.%d.%d:7340", number%3, trial, number), DataCentre: uint32(number % 3),
			}
		}
		// seen returns the members that a member of a data centre sees.
		seen := func(centre uint32) (members []elector.Member) {
			for _, member := range all {
				if centre == 2 || member.DataCentre == 2 || member.DataCentre == centre {
					members = append(members, member)
				}
			}
			return members
		}
		for _, centre := range []uint32{0, 1} {
			heard := 0
			for _, member := range seen(centre) {
				primaries := elector.Primaries(elector.Readers(seen(member.DataCentre), 4), 2)
				if elector.Contains(primaries, member.Address) {
					heard++
				}
			}
			if heard == 0 {
				without++
			}
		}
	}
	Convey("each side hears at least one", t, func() { So(without, ShouldEqual, 0) })
}
