package resolver

import (
	"maps"
	"slices"
)

// Bundle is everything that operators accept together: the base file and the
// overlay of each site, as text.
type Bundle struct {
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
}

// Sources returns the files of the bundle under the names "base" and the site's.
func (bundle Bundle) Sources() Sources {
	sources := Sources{Base: Source{File: "base", Text: []byte(bundle.Base)}}
	for _, site := range slices.Sorted(maps.Keys(bundle.Overlays)) {
		source := Source{File: "overlay " + site, Text: []byte(bundle.Overlays[site])}
		sources.Overlays = append(sources.Overlays, Overlay{Site: site, Source: source})
	}
	return sources
}

// Bundle returns the texts of the sources without their files' names.
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
