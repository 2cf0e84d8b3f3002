package resolver

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// siteKey names an overlay's site in its file.
const siteKey = "site"

// Source is a file's name and text.
type Source struct {
	File string
	Text []byte
}

// Overlay is what one site has of its own.
type Overlay struct {
	Site string
	Source
}

// Sources are a base file and its overlays.
type Sources struct {
	Base     Source
	Overlays []Overlay
}

// Resolved is the configuration of one site, and where each value came from.
type Resolved struct {
	Config   Config
	Document Document
}

// tunable are the fields that an overlay may change in what the base defines:
// those that follow from a site's machines and distances. What a caller may
// rely on (kind, models, keys, routes, whether a call may run twice) is the
// same at every site, so that a chat or an order may move between sites.
func tunable(path Path) bool {
	if len(path) == 2 && path[0] == "limits" {
		return true
	}
	if len(path) != 3 {
		return false
	}
	switch path[0] {
	case teamsKey:
		return path[2] == "weight"
	case "services":
		return slices.Contains([]string{
			"load-factor", "slots", "queue-length", "first-byte",
			"longest-call", "longest-drain", "longest-order", "loads-a-minute", "adapters",
		}, path[2])
	}
	return false
}

// addable reports whether an overlay may add something under the key of the base.
func addable(path Path) bool {
	return path[0] == teamsKey || path[0] == "services" || path[0] == routesKey
}

// SiteOf returns the site that an overlay's own key names.
func SiteOf(source Source) (string, bool) {
	doc, _ := Read(source)
	value, ok := doc.find(Path{siteKey})
	return unquote(value.Text), ok
}

// Resolve returns the configuration in force at a site: the base, and on it
// the site's overlay. A site without an overlay has the base alone.
func (sources Sources) Resolve(site string) (Resolved, Faults) {
	doc, faults := Read(sources.Base)
	for _, overlay := range sources.Overlays {
		if overlay.Site != site || site == "" {
			continue
		}
		over, more := readOverlay(overlay)
		doc = merge(doc, over)
		faults = append(faults, more...)
	}
	if len(faults) > 0 {
		return Resolved{}, faults
	}
	config, err := doc.config()
	if err != nil {
		return Resolved{}, withRemedy(faultsOf(sources.Base.File, err), "run config check")
	}
	return Resolved{Config: config, Document: doc}, nil
}

// merge sets every value of the overlay in a copy of the base.
func merge(base, over Document) Document {
	out := newDocument()
	for _, value := range base.values {
		out.set(value)
	}
	for _, value := range over.values {
		if _, known := base.find(value.Path); known && value.Text == "" {
			continue
		}
		out.set(value)
	}
	return out
}

// readOverlay returns the values of an overlay but for the name of its site.
func readOverlay(overlay Overlay) (Document, Faults) {
	doc, faults := Read(overlay.Source)
	out := newDocument()
	for _, value := range doc.values {
		if value.Path.String() != siteKey {
			out.set(value)
			continue
		}
		if named := unquote(value.Text); named != overlay.Site {
			reason := fmt.Sprintf("the overlay of %s says that its site is %s", overlay.Site, named)
			faults = append(faults, value.Origin.fault(reason, "make the two agree"))
		}
	}
	return out, faults
}

// Check returns every fault of the base and of all overlays, in the order of
// files and lines.
func (sources Sources) Check() Faults {
	base, faults := Read(sources.Base)
	if len(faults) > 0 && len(base.values) == 0 {
		return faults
	}
	faults = append(faults, base.checkValues()...)
	faults = append(faults, sources.checkSites(base)...)
	sites := []string{""}
	for _, overlay := range sources.Overlays {
		over, more := readOverlay(overlay)
		faults = append(faults, more...)
		faults = append(faults, over.checkValues()...)
		faults = append(faults, checkOverlay(base, over)...)
		sites = append(sites, overlay.Site)
	}
	for _, site := range sites {
		faults = append(faults, sources.checkSite(site)...)
	}
	return faults.distinct()
}

// checkSite holds the rules between values against the result at one site.
// Values of the wrong type are left out: they are faults already.
func (sources Sources) checkSite(site string) Faults {
	doc, _ := Read(sources.Base)
	for _, overlay := range sources.Overlays {
		if overlay.Site == site && site != "" {
			over, _ := readOverlay(overlay)
			doc = merge(doc, over)
		}
	}
	sound := newDocument()
	for _, value := range doc.values {
		if _, bad := value.check(reflect.TypeFor[Config]()); !bad {
			sound.set(value)
		}
	}
	var config Config
	if err := toml.Unmarshal([]byte(sound.text(false)), &config); err != nil {
		return withRemedy(faultsOf(sources.Base.File, err), "write it as the page of settings shows")
	}
	return config.check(sound)
}

// checkSites looks for overlays of unknown sites and for two of one site.
func (sources Sources) checkSites(base Document) Faults {
	var faults Faults
	seen := map[string]string{}
	for _, overlay := range sources.Overlays {
		at := Origin{File: overlay.File, Line: 1}
		if _, ok := base.find(Path{"sites", overlay.Site}); !ok {
			remedy := fmt.Sprintf("add [sites.%s] to %s, or mend the name", overlay.Site, sources.Base.File)
			faults = append(faults, at.fault(fmt.Sprintf("the base has no site %q", overlay.Site), remedy))
		}
		if first, twice := seen[overlay.Site]; twice {
			reason := fmt.Sprintf("the site %s has an overlay already, %s", overlay.Site, first)
			faults = append(faults, at.fault(reason, "join the two files"))
		}
		seen[overlay.Site] = overlay.File
	}
	return faults
}

// checkOverlay looks for values that an overlay may not change.
func checkOverlay(base, over Document) Faults {
	var faults Faults
	for _, value := range over.values {
		if value.Text == "" && len(value.Path) == 1 || tunable(value.Path) {
			continue
		}
		if _, _, remedy := typeAt(reflect.TypeFor[Config](), value.Path); remedy != "" {
			continue
		}
		if !addable(value.Path) {
			reason := value.Path.String() + " is the same at every site"
			faults = append(faults, value.Origin.fault(reason, "set it in the base"))
			continue
		}
		if _, defined := base.find(value.Path[:min(2, len(value.Path))]); defined && value.Text != "" {
			if was, ok := base.find(value.Path); ok && was.Text == value.Text {
				continue
			}
			reason := fmt.Sprintf("%s belongs to %s, which the base defines", value.Path, strings.TrimSuffix(value.Path[0], "s"))
			faults = append(faults, value.Origin.fault(reason, "change it in the base; an overlay may only tune it"))
		}
	}
	return faults
}
