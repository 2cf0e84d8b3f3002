package resolver

// Bundle is everything that operators accept together: the base file and the
// overlay of each site, as text.
type Bundle struct {
	Base     string            `json:"base"`
	Overlays map[string]string `json:"overlays,omitempty"`
}

// Resolve returns the configuration in force at a site.
func (bundle Bundle) Resolve(_ string) (Config, Faults) {
	return Parse("base", []byte(bundle.Base))
}
