package resolver

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"
)

// Fault is one thing wrong in a file.
type Fault struct {
	File   string
	Line   int
	Reason string
}

// String returns the fault as "file:line: reason".
func (fault Fault) String() string {
	if fault.Line == 0 {
		return fmt.Sprintf("%s: %s", fault.File, fault.Reason)
	}
	return fmt.Sprintf("%s:%d: %s", fault.File, fault.Line, fault.Reason)
}

// Faults is an error that names every fault found.
type Faults []Fault

// Error returns the faults, one a line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Decode reads TOML into out and returns every unknown key and bad value of
// the file as Faults. It serves process settings and configuration alike.
func Decode(file string, text []byte, out any) Faults {
	decoder := toml.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return faultsOf(file, decoder.Decode(out))
}

func faultsOf(file string, err error) Faults {
	if err == nil {
		return nil
	}
	var unknown *toml.StrictMissingError
	if eris.As(err, &unknown) {
		faults := make(Faults, 0, len(unknown.Errors))
		for i := range unknown.Errors {
			line, _ := unknown.Errors[i].Position()
			reason := "unknown key " + strings.Join(unknown.Errors[i].Key(), ".")
			faults = append(faults, Fault{File: file, Line: line, Reason: reason})
		}
		return faults
	}
	var bad *toml.DecodeError
	if eris.As(err, &bad) {
		line, _ := bad.Position()
		return Faults{{File: file, Line: line, Reason: strings.TrimPrefix(bad.Error(), "toml: ")}}
	}
	return Faults{{File: file, Reason: err.Error()}}
}

// Parse reads a base file alone into a configuration.
func Parse(file string, text []byte) (Config, Faults) {
	var config Config
	faults := Decode(file, text, &config)
	if len(faults) > 0 {
		return Config{}, faults
	}
	return config, config.check(file)
}

func (config Config) check(file string) Faults {
	var faults Faults
	add := func(reason string, parts ...any) {
		faults = append(faults, Fault{File: file, Reason: fmt.Sprintf(reason, parts...)})
	}
	for _, name := range config.ServiceNames() {
		service := config.Services[name]
		if service.Kind != KindModel && service.Kind != KindPlain {
			add("services.%s.kind is %q; write \"model\" or \"plain\"", name, service.Kind)
		}
		if service.LoadFactor != 0 && service.LoadFactor < 1 {
			add("services.%s.load-factor is %g; write 1 or more", name, service.LoadFactor)
		}
		checkQueue(name, service, add)
	}
	for _, route := range config.Routes {
		if _, ok := config.Services[route.Service]; !ok {
			add("the route %s leads to service %q, which is not there", route.Path, route.Service)
		}
	}
	return faults
}

// checkQueue checks the settings of a service's slots and queue.
func checkQueue(name string, service Service, add func(reason string, parts ...any)) {
	if service.Slots < 0 || service.QueueLength < 0 {
		add("services.%s: slots and queue-length must not be negative", name)
		return
	}
	whole := service.WithDefaults()
	if *whole.UrgentSlots < 0 || *whole.UrgentSlots >= whole.Slots {
		add("services.%s.urgent-slots is %d; write 0 or more, and fewer than the %d slots", name, *whole.UrgentSlots, whole.Slots)
	}
	if min(whole.OldestMean, whole.Ageing, *whole.UnknownHold, *whole.SettleTime) < 0 {
		add("services.%s: no span may be negative", name)
	}
}
