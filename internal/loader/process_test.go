package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const validAgent = `name = "orders-1"
site = "bole"
listen = "127.0.0.1:7100"
admin-listen = "127.0.0.1:7101"
platform = "http://127.0.0.1:7000"
service = "orders"
upstream = "http://127.0.0.1:7200"
advertise = "orders-1.bole:7100"
log-level = "warn"
peers = ["127.0.0.1:7102", "[::1]:7103"]
`

func TestFaultsOfAgentSettings(t *testing.T) {
	tests := []struct {
		name, old, new string
		want           []string
	}{
		{"valid settings", "", "", nil},
		{"an empty file", validAgent, "", []string{
			":1: name is missing", ":1: site is missing", ":1: listen is missing", ":1: platform is missing",
			":1: service is missing", ":1: upstream is missing",
		}},
		{"bad syntax", `"bole"`, `"bole`, []string{":2: "}},
		{"an empty value is reported at its line", `"bole"`, `""`, []string{":2: site is missing"}},
		{"faults of several kinds", "site = \"bole\"\nlisten = \"127.0.0.1:7100\"", "sight = \"bole\"\nlisten = 7100", []string{
			":1: site is missing", ":2: unknown key sight", ":3: listen is 7100",
		}},
		{"two listeners at one address", ":7101", ":7100", []string{":4: admin-listen is the same address as listen"}},
		{"two listeners at port 0 don't conflict", "127.0.0.1:7100\"\nadmin-listen = \"127.0.0.1:7101", "127.0.0.1:0\"\nadmin-listen = \"127.0.0.1:0", nil},
		{"a duplicate peer", "[::1]:7103", "127.0.0.1:7102", []string{":10: peers has 127.0.0.1:7102 twice"}},
		{"a duplicate peer spelt differently", "127.0.0.1:7102", "[0::1]:7103", []string{":10: peers has [::1]:7103 twice"}},
		{"the process as its own peer", "127.0.0.1:7102", "127.0.0.1:7100", []string{":10: peers has 127.0.0.1:7100, where"}},
		{"a peer without a port", "127.0.0.1:7102", "127.0.0.1", []string{`:10: peers is "127.0.0.1"`}},
		{"peers not written as a list", `["127.0.0.1:7102", "[::1]:7103"]`, `"127.0.0.1:7102"`, []string{":10: peers is"}},
		{"an unknown log level", `"warn"`, `"loud"`, []string{`:9: log-level is "loud"`}},
		{"a port out of range", ":7101", ":71010", []string{`:4: admin-listen is "127.0.0.1:71010"`}},
		{"a platform address with https", "http://127.0.0.1:7000", "https://127.0.0.1:7000", []string{":5: platform is"}},
		{"the platform as upstream", ":7200", ":7000", []string{":7: upstream is the same address as platform"}},
		{"an advertised address without a port", "orders-1.bole:7100", "orders-1.bole", []string{":8: advertise is"}},
		{"a duplicate key", `site = "bole"`, "name = \"orders-2\"", []string{":2: "}},
	}
	for _, test := range tests {
		Convey(test.name, t, func() {
			file := filepath.Join(t.TempDir(), "agent.toml")
			text := strings.Replace(validAgent, test.old, test.new, 1)
			So(os.WriteFile(file, []byte(text), 0o600), ShouldBeNil)
			_, faults := ReadAgent(file)
			So(faults, ShouldHaveLength, len(test.want))
			for i, want := range test.want {
				So(faults[i].String(), ShouldStartWith, file+want)
				So(faults[i].Remedy, ShouldNotBeEmpty)
			}
		})
	}
}
