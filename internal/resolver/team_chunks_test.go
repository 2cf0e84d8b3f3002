package resolver

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	. "github.com/smartystreets/goconvey/convey"
)

func TestTeamsDecodedInChunksEqualTeamsDecodedAtOnce(t *testing.T) {
	for _, count := range []int{0, 1, teamsPerChunk, teamsPerChunk + 1, 5*teamsPerChunk - 1} {
		Convey(fmt.Sprintf("%d teams, each written in two places", count), t, func() {
			var text strings.Builder
			text.WriteString("[services.orders]\nkind = \"plain\"\n")
			for i := range count {
				fmt.Fprintf(&text, "[teams.\"team %d\"]\nkey-hashes = [\"%064x\"]\n", i, i)
			}
			var weights strings.Builder
			for i := range count {
				fmt.Fprintf(&weights, "[teams.\"team %d\"]\nweight = %d\n", i, i+1)
			}
			bundle := Bundle{Base: text.String(), Overlays: map[string]string{"bole": weights.String()}}
			resolved, faults := bundle.Sources().Resolve("bole")
			So(faults, ShouldBeEmpty)
			var decodedAtOnce Config
			So(toml.Unmarshal([]byte(resolved.Document.text(false)), &decodedAtOnce), ShouldBeNil)
			So(resolved.Config, ShouldResemble, decodedAtOnce)
			So(len(resolved.Config.Teams), ShouldEqual, count)
		})
	}
}
