package resolver

import (
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// siteKey is the key under which an overlay file names its site.
const siteKey = "site"

// Source is the name and text of a file.
type Source struct {
	File string
	Text []byte
}

// Overlay is a file whose values apply at one site only, over those of the base.
type Overlay struct {
	Site string
	Source
}

// Sources are a base file and its overlays.
type Sources struct {
	Base     Source
	Overlays []Overlay
}

// Resolved is the configuration of one site, with the origin of each value.
type Resolved struct {
	Config   Config
	Document Document
}

// tunable reports whether an overlay may change the value at path although the base
// defines it. Tunable values depend on a site's machines and network distances. What
// callers rely on (kind, models, keys, routes, whether a call may run twice) is the
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

// addable reports whether an overlay may define the value at path if the base doesn't
// define the team, service or route that the value belongs to.
func addable(path Path) bool {
	return path[0] == teamsKey || path[0] == "services" || path[0] == routesKey
}

// SiteOf returns the site that an overlay file names under the key "site".
func SiteOf(source Source) (string, bool) {
	doc, _ := Read(source)
	value, ok := doc.find(Path{siteKey})
	return unquote(value.Text), ok
}

// Resolve returns the configuration in force at a site: the base with the values
// of the site's overlay, if the site has one.
func (sources Sources) Resolve(site string) (Resolved, Faults) {
	doc, faults := Read(sources.Base)
	for _, overlay := range sources.Overlays {
		if overlay.Site != site || site == "" {
			continue
		}
		overlayDoc, overlayFaults := readOverlay(overlay)
		doc = merge(doc, overlayDoc)
		faults = append(faults, overlayFaults...)
	}
	if len(faults) > 0 {
		return Resolved{}, faults
	}
	config, err := doc.config()
	if err != nil {
		return Resolved{}, withRemedy(decodeFaults(sources.Base.File, err), "run config check")
	}
	return Resolved{Config: config, Document: doc}, nil
}

// merge returns a copy of the base with every value of the overlay set.
func merge(base, overlay Document) Document {
	out := newDocument()
	for _, value := range base.values {
		out.set(value)
	}
	for _, value := range overlay.values {
		if _, known := base.find(value.Path); known && value.Text == "" {
			continue
		}
		out.set(value)
	}
	return out
}

// readOverlay returns the values of an overlay except the name of its site.
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

// Check returns all faults of the base and the overlays, sorted by file and line.
func (sources Sources) Check() Faults {
	base, faults := Read(sources.Base)
	if len(faults) > 0 && len(base.values) == 0 {
		return faults
	}
	faults = append(faults, base.checkTypes()...)
	faults = append(faults, sources.checkOverlaySites(base)...)
	sites := []string{""}
	for _, overlay := range sources.Overlays {
		overlayDoc, overlayFaults := readOverlay(overlay)
		faults = append(faults, overlayFaults...)
		faults = append(faults, overlayDoc.checkTypes()...)
		faults = append(faults, checkOverlay(base, overlayDoc)...)
		sites = append(sites, overlay.Site)
	}
	for _, site := range sites {
		faults = append(faults, sources.checkSite(site)...)
	}
	return faults.distinct()
}

// checkSite validates the configuration that results at one site. It skips values
// of the wrong type, which checkTypes reports.
func (sources Sources) checkSite(site string) Faults {
	doc, _ := Read(sources.Base)
	for _, overlay := range sources.Overlays {
		if overlay.Site == site && site != "" {
			overlayDoc, _ := readOverlay(overlay)
			doc = merge(doc, overlayDoc)
		}
	}
	valid := newDocument()
	for _, value := range doc.values {
		if _, bad := value.checkType(reflect.TypeFor[Config]()); !bad {
			valid.set(value)
		}
	}
	var config Config
	if err := toml.Unmarshal([]byte(valid.text(false)), &config); err != nil {
		return withRemedy(decodeFaults(sources.Base.File, err), "write it as the page of settings shows")
	}
	return config.validate(valid)
}

// checkOverlaySites reports overlays of unknown sites and a second overlay of a site.
func (sources Sources) checkOverlaySites(base Document) Faults {
	var faults Faults
	seen := map[string]string{}
	for _, overlay := range sources.Overlays {
		origin := Origin{File: overlay.File, Line: 1}
		if _, ok := base.find(Path{"sites", overlay.Site}); !ok {
			remedy := fmt.Sprintf("add [sites.%s] to %s, or mend the name", overlay.Site, sources.Base.File)
			faults = append(faults, origin.fault(fmt.Sprintf("the base has no site %q", overlay.Site), remedy))
		}
		if first, duplicate := seen[overlay.Site]; duplicate {
			reason := fmt.Sprintf("the site %s has an overlay already, %s", overlay.Site, first)
			faults = append(faults, origin.fault(reason, "join the two files"))
		}
		seen[overlay.Site] = overlay.File
	}
	return faults
}

// checkOverlay reports values that an overlay may not change.
func checkOverlay(base, overlay Document) Faults {
	var faults Faults
	for _, value := range overlay.values {
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
			if baseValue, ok := base.find(value.Path); ok && baseValue.Text == value.Text {
				continue
			}
			reason := fmt.Sprintf("%s belongs to %s, which the base defines", value.Path, strings.TrimSuffix(value.Path[0], "s"))
			faults = append(faults, value.Origin.fault(reason, "change it in the base; an overlay may only tune it"))
		}
	}
	return faults
}
