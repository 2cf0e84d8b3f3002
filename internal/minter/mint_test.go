package minter

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/trefoilseam/trefoilseam/internal/classifier"
)

func TestOnlyTheMintingIncarnationAcceptsAKey(t *testing.T) {
	// If two incarnations accepted one key, its call could run twice. A key must also
	// be rejected for another team or service, and if it is forged.
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
		{"a valid key", "rig", "orders", keys[0], mint, 0},
		{"a key of another team", "other", "orders", keys[0], mint, classifier.BadRequest},
		{"a key of another service", "rig", "portal", keys[0], mint, classifier.BadRequest},
		{"a forged key", "rig", "orders", forged, mint, classifier.BadRequest},
		{"a malformed key", "rig", "orders", Prefix + "x.y", mint, classifier.BadRequest},
		{"a key of an earlier incarnation", "rig", "orders", keys[0], New("orders.1", 8, 0), classifier.WrongInstance},
		{"a key made with another secret", "rig", "orders", keys[0], New("orders.1", 7, 0), classifier.BadRequest},
	}
	Convey("keys differ, and only their mint accepts them", t, func() {
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
