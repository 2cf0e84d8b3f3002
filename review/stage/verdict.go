package stage

// The exit codes of a case.
const (
	// Held means that the rule held.
	Held = iota
	// Broken means that the rule was broken.
	Broken
	// CouldNotRun means that the case could not run.
	CouldNotRun
)
