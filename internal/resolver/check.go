package resolver

import (
	"encoding/hex"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// MaxPollInterval is the upper limit of limits.poll-every. A change that is
// accepted just after a poll waits for the next one, up to 7.2 s with the jitter
// of a fifth, and for three calls to the store, that of the earlier poll among
// them: 4.5 s if the store takes 1.5 s for each. The sum is within the bound of
// 13 s even if no peer sends the update.
const MaxPollInterval = 6 * timekeeper.Second

// checker collects the faults in the configuration of one site.
type checker struct {
	doc    Document
	faults Faults
}

func (check *checker) add(path Path, remedy, reason string, parts ...any) {
	check.faults = append(check.faults, check.doc.originOf(path).fault(fmt.Sprintf(reason, parts...), remedy))
}

// validate returns the faults in a configuration whose values all have the right
// types, such as numbers out of range, duplicates, and references to services,
// methods or promises that don't exist.
func (config Config) validate(doc Document) Faults {
	check := &checker{doc: doc}
	check.teams(config)
	for _, name := range config.ServiceNames() {
		check.service(name, config.Services[name])
	}
	check.models(config)
	check.routes(config)
	check.promises(config)
	check.limits(config)
	return check.faults
}

func (check *checker) teams(config Config) {
	owners := map[string]string{}
	for _, name := range check.doc.sortByPosition(teamsKey, slices.Sorted(maps.Keys(config.Teams))) {
		team := config.Teams[name]
		path := Path{teamsKey, name, "key-hashes"}
		if team.Weight < 0 {
			check.add(Path{teamsKey, name, "weight"}, "write 1 or more", "team %s has the weight %d", name, team.Weight)
		}
		if len(team.KeyHashes) == 0 {
			check.add(path, "add key-hashes with the SHA-256 of a key", "nobody can call for team %s", name)
		}
		for _, hash := range team.KeyHashes {
			check.keyHash(path, name, hash, owners)
		}
	}
}

func (check *checker) keyHash(path Path, team, hash string, owners map[string]string) {
	const remedy = `write 64 digits of hexadecimal in lower case, as "printf %s KEY | sha256sum" prints them`
	sum, err := hex.DecodeString(hash)
	// Hashes are compared as text, in lower case, when a key is looked up.
	if err != nil || len(sum) != 32 || hash != strings.ToLower(hash) {
		check.add(path, remedy, "team %s has the key hash %q, which is no SHA-256", team, hash)
		return
	}
	if owner, taken := owners[hash]; taken {
		check.add(path, "give each key to one team, once", "team %s has a key hash that team %s has too: %s", team, owner, hash[:12])
	}
	owners[hash] = team
}

func (check *checker) service(name string, service Service) {
	path := Path{"services", name}
	if service.Kind != KindModel && service.Kind != KindPlain {
		check.add(path.child("kind"), `write "model" or "plain"`, "service %s is of kind %q", name, service.Kind)
	}
	if service.Kind == KindModel && len(service.Models) == 0 {
		check.add(path, `add models = ["..."]`, "the model service %s answers to no model", name)
	}
	if service.Kind == KindPlain && len(service.Models) > 0 {
		check.add(path.child("models"), `take models out, or make the kind "model"`, "the plain service %s has models", name)
	}
	if service.LoadFactor != 0 && service.LoadFactor < 1 {
		check.add(path.child("load-factor"), "write 1 or more", "service %s has the load factor %g", name, service.LoadFactor)
	}
	for _, number := range service.numericSettings() {
		if number.value < 0 {
			check.add(path.child(number.key), "write a positive number, or leave it out", "%s of service %s is negative", number.key, name)
		}
	}
	if effective := service.WithDefaults(); *effective.UrgentSlots >= effective.Slots && effective.Slots > 0 {
		check.add(path.child("urgent-slots"), "leave a slot for other work", "service %s keeps all %d slots for urgent work", name, effective.Slots)
	}
}

// numericSetting is a key and its value as a number.
type numericSetting struct {
	key   string
	value int64
}

func (service Service) numericSettings() []numericSetting {
	return []numericSetting{
		{"slots", int64(service.Slots)},
		{"queue-length", int64(service.QueueLength)},
		{"max-body", service.MaxBody},
		{"longest-call", int64(service.CallTimeout)},
		{"longest-drain", int64(service.DrainTimeout)},
		{"first-byte", int64(service.FirstByteTimeout)},
		{"longest-order", int64(service.OrderTimeout)},
		{"free-calls", int64(service.FreeCalls)},
		{"oldest-mean", int64(service.MaxMeanAge)},
		{"ageing", int64(service.Ageing)},
		{"cache-tokens", service.CacheTokens},
		{"urgent-slots", int64(valueOf(service.UrgentSlots))},
		{"unknown-hold", int64(valueOf(service.UnknownHold))},
		{"settle-time", int64(valueOf(service.RecentStartPeriod))},
		{"longest-fetch", int64(service.FetchTimeout)},
		{"hand-over-bytes", service.MaxHandOverBytes},
		{"loads-a-minute", int64(service.LoadsPerMinute)},
	}
}

// valueOf returns the value of an optional setting, or zero if it is absent.
func valueOf[T any](setting *T) T {
	var zero T
	if setting == nil {
		return zero
	}
	return *setting
}

func (check *checker) models(config Config) {
	owners := map[string]string{}
	for _, name := range check.doc.sortByPosition("services", config.ServiceNames()) {
		for _, model := range config.Services[name].Models {
			if owner, taken := owners[model]; taken {
				path := Path{"services", name, "models"}
				check.add(path, "leave the model to one of them", "services %s and %s both answer to model %s", owner, name, model)
			}
			owners[model] = name
		}
	}
}

func (check *checker) routes(config Config) {
	for _, route := range config.Routes {
		path := Path{routesKey, route.Path}
		if !strings.HasPrefix(route.Path, "/") {
			check.add(path, `begin it with "/"`, "the route %q is no path", route.Path)
		}
		if _, ok := config.Services[route.Service]; !ok {
			remedy := "name one of " + strings.Join(config.ServiceNames(), ", ")
			check.add(path.child("service"), remedy, "the route %s leads to service %q, which is not there", route.Path, route.Service)
		}
		for _, method := range route.Idempotent {
			if !slices.Contains(knownMethods[:], method) {
				remedy := "write methods such as GET in capitals"
				check.add(path.child("idempotent-methods"), remedy, "the route %s has the unknown method %q", route.Path, method)
			}
		}
	}
}

var knownMethods = [...]string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPost,
	http.MethodPut, http.MethodPatch, http.MethodDelete,
}

func (check *checker) promises(config Config) {
	for _, promise := range config.Promises.Apply {
		if !slices.Contains(AllPromises(), promise) {
			remedy := "write some of " + strings.Join(AllPromises(), ", ")
			check.add(Path{"promises", "apply"}, remedy, "there is no promise %q", promise)
		}
	}
}

func (check *checker) limits(config Config) {
	limits := config.Limits
	if limits.PollInterval < 0 || limits.PollInterval > MaxPollInterval {
		check.add(Path{"limits", "poll-every"}, "write at most "+MaxPollInterval.String(), "limits.poll-every is %s", limits.PollInterval)
	}
	for _, number := range []numericSetting{
		{"order-lease", int64(limits.OrderLease)}, {"store-reads", int64(limits.StoreReads)}, {"store-writes", int64(limits.StoreWrites)},
	} {
		if number.value < 0 {
			check.add(Path{"limits", number.key}, "write a positive number, or leave it out", "limits.%s is negative", number.key)
		}
	}
}
