package stage

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills in a template of settings, as the platform does: values, values as JSON, and sections
// that are rendered if there is a value. fields maps the platform's names to values.
func fill(template string, fields map[string]any) string {
	text := section.ReplaceAllStringFunc(template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		value, found := fields[parts[1]]
		if !found || value == false {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", fmt.Sprint(value))
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value, found := fields[parts[1]]
		switch {
		case !found:
			return ""
		case parts[2] == "":
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(encoded)
	})
}
