package minter

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
)

func TestOnlyTheIncarnationThatMadeAKeyTakesIt(t *testing.T) {
	mint := New("orders.1", 7, 0)
	keys, expires := mint.Make("rig", "orders", 2, 1000)
	forged := keys[0][:len(keys[0])-1] + "A"
	if forged == keys[0] {
		forged = keys[0][:len(keys[0])-1] + "Q"
	}
	tests := []struct {
		name, team, service, key string
		mint                     *Mint
		kind                     classifier.Kind
	}{
		{"its own", "rig", "orders", keys[0], mint, 0},
		{"another team's", "other", "orders", keys[0], mint, classifier.BadRequest},
		{"another service's", "rig", "portal", keys[0], mint, classifier.BadRequest},
		{"a forged one", "rig", "orders", forged, mint, classifier.BadRequest},
		{"a malformed one", "rig", "orders", Prefix + "x.y", mint, classifier.BadRequest},
		{"the next incarnation", "rig", "orders", keys[0], New("orders.1", 8, 0), classifier.WrongInstance},
		{"another secret", "rig", "orders", keys[0], New("orders.1", 7, 0), classifier.BadRequest},
	}
	Convey("keys differ, and each is taken by its maker alone", t, func() {
		So(keys[0], ShouldNotEqual, keys[1])
		for _, test := range tests {
			got, failure, ok := test.mint.Check(test.team, test.service, test.key)
			So(failure.Kind, ShouldEqual, test.kind)
			So(ok, ShouldEqual, test.kind == 0)
			if ok {
				So(got, ShouldEqual, expires)
			}
		}
	})
}
