package publisher

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/trefoilseam/trefoilseam/internal/dialer"
	"github.com/trefoilseam/trefoilseam/internal/encoder"
	"github.com/trefoilseam/trefoilseam/internal/storekeeper"
)

// ProcessRevision is the revision that one process has in force.
type ProcessRevision struct {
	Process  string `json:"process"`
	Site     string `json:"site,omitempty"`
	Revision uint64 `json:"revision"`
	// Unresponsive is set when the process is listed and didn't answer.
	Unresponsive bool `json:"silent,omitempty"`
}

// Survey lists the revision of every listed agent and of every entry that agents know.
type Survey struct {
	Head      Head              `json:"head"`
	Processes []ProcessRevision `json:"processes"`
}

// Lagging returns the processes that are below a revision or unresponsive.
func (survey Survey) Lagging(revision uint64) []ProcessRevision {
	var out []ProcessRevision
	for _, process := range survey.Processes {
		if process.Unresponsive || process.Revision < revision {
			out = append(out, process)
		}
	}
	return out
}

// Surveyor finds out which revision each process has in force.
type Surveyor struct {
	Platform storekeeper.Platform
	Pool     *dialer.Pool
}

// surveyWorkers bounds how many agents are queried concurrently.
const surveyWorkers = 32

// Survey reads the head and queries every agent on the instance list. Entries are on
// no list; agents report the revision in each entry's recent messages, so that entries
// need no row in the store for it.
func (surveyor Surveyor) Survey(ctx context.Context) (Survey, error) {
	head, _, err := ReadHead(ctx, surveyor.Platform)
	if err != nil {
		return Survey{}, err
	}
	listed, err := surveyor.Platform.Directory.List(ctx)
	if err != nil {
		return Survey{Head: head}, err
	}
	listed = slices.DeleteFunc(listed, func(instance storekeeper.Instance) bool {
		return instance.Leaving || instance.Address == ""
	})
	found := make([]ProcessRevision, len(listed))
	entries := entrySet{seen: map[string]ProcessRevision{}}
	for _, instance := range listed {
		entries.agents = append(entries.agents, instance.Name)
	}
	var workers sync.WaitGroup
	next := make(chan int)
	for range min(surveyWorkers, len(listed)) {
		workers.Go(func() {
			for i := range next {
				found[i] = surveyor.ask(ctx, listed[i], &entries)
			}
		})
	}
	for i := range listed {
		next <- i
	}
	close(next)
	workers.Wait()
	survey := Survey{Head: head, Processes: slices.Concat(found, entries.list())}
	slices.SortFunc(survey.Processes, func(a, b ProcessRevision) int { return cmp.Compare(a.Process, b.Process) })
	return survey, nil
}

func (surveyor Surveyor) ask(ctx context.Context, instance storekeeper.Instance, entries *entrySet) ProcessRevision {
	process := ProcessRevision{Process: instance.Name, Site: instance.Site}
	answer, err := Exchange(ctx, surveyor.Pool, instance.Address, &encoder.DigestAsk{Service: instance.Service, WantAskers: true})
	if err != nil {
		process.Unresponsive = true
		return process
	}
	digests := answer.GetDigests()
	process.Revision = digests.GetRevision()
	for _, digest := range digests.GetDigests() {
		if digest.GetInstance() == instance.Name {
			process.Revision = digest.GetRevision()
		}
	}
	entries.add(digests.GetAskers())
	return process
}

// entrySet collects the revisions of entries that agents report.
type entrySet struct {
	agents []string

	mu   sync.Mutex
	seen map[string]ProcessRevision
}

func (entries *entrySet) add(askers []*encoder.Asker) {
	entries.mu.Lock()
	defer entries.mu.Unlock()
	for _, asker := range askers {
		name := asker.GetName()
		// A revision never falls, so of two reports the higher is the later one.
		if !slices.Contains(entries.agents, name) && asker.GetRevision() > entries.seen[name].Revision {
			entries.seen[name] = ProcessRevision{Process: name, Revision: asker.GetRevision()}
		}
	}
}

func (entries *entrySet) list() []ProcessRevision {
	entries.mu.Lock()
	defer entries.mu.Unlock()
	list := make([]ProcessRevision, 0, len(entries.seen))
	for _, process := range entries.seen {
		list = append(list, process)
	}
	return list
}
