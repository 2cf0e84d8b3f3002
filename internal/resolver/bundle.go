package resolver

import (
	"maps"
	"slices"
)

// Bundle holds the texts of the base file and of each site's overlay, which operators
// accept together.
type Bundle struct {
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
}

// Sources returns the texts of the bundle as files named "base" and "overlay SITE".
func (bundle Bundle) Sources() Sources {
	sources := Sources{Base: Source{File: "base", Text: []byte(bundle.Base)}}
	for _, site := range slices.Sorted(maps.Keys(bundle.Overlays)) {
		source := Source{File: "overlay " + site, Text: []byte(bundle.Overlays[site])}
		sources.Overlays = append(sources.Overlays, Overlay{Site: site, Source: source})
	}
	return sources
}

// Bundle returns the texts of the sources without the names of their files.
func (sources Sources) Bundle() Bundle {
	bundle := Bundle{Base: string(sources.Base.Text)}
	for _, overlay := range sources.Overlays {
		if bundle.Overlays == nil {
			bundle.Overlays = map[string]string{}
		}
		bundle.Overlays[overlay.Site] = string(overlay.Text)
	}
	return bundle
}

// Resolve returns the configuration in force at a site.
func (bundle Bundle) Resolve(site string) (Config, Faults) {
	resolved, faults := bundle.Sources().Resolve(site)
	return resolved.Config, faults
}
