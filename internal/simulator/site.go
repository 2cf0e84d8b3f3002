package simulator

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Class is one kind of request.
type Class struct {
	Name string
	// PerSecond is how many come a second at a load of one.
	PerSecond float64
	// Urgency orders classes; zero is first.
	Urgency int
	// Target is the time to the first event that counts as on time, Timeout how
	// long the caller waits for it.
	Target, Timeout timekeeper.Span
	// Roots is how many first parts there are, of RootTokens each; Things how many
	// second parts, of ThingTokens each; each thing has one root.
	Roots, RootTokens   int
	Contexts, ContextTokens int
	// UniqueTokens is the part that no other request shares, Output the answer.
	UniqueTokens, Output int
	// Worth weighs the class in the sum of a run.
	Worth float64
}

// Site is what a run plays.
type Site struct {
	Entries int
	Engines int
	Engine  EngineSettings
	Classes []Class
	// DigestInterval is the time between two digests of an entry; zero means that entries
	// never hear of each other.
	DigestInterval timekeeper.Span
	// LoadFactor is how many times the mean a replica may hold.
	LoadFactor float64
	// PrefillPrice is what the operators pay for a thousand shared tokens that are read
	// again, MovePrice for a gigabyte that engines hand each other, both in the unit of
	// worth. Entries are told their ratio; where one is zero they go by their default.
	PrefillPrice, MovePrice float64
}

// Kitchen returns a site of today's size: four entries before nine engines, long
// prompts that are urgent, short ones that are more so, and long answers that
// are least urgent.
func Kitchen() Site {
	return Site{
		Entries: 4, Engines: 9, DigestInterval: 100, LoadFactor: 2,
		Engine: EngineSettings{
			Slots: 64, Memory: 316000, Step: 3.4, StepPerRequest: 0.017, PrefillRate: 44, Chunk: 1024,
		},
		Classes: []Class{
			{
				Name: "rebuild", PerSecond: 17.5, Urgency: 1, Target: 600, Timeout: 2400, Worth: 3.9,
				Roots: 4, RootTokens: 2520, Contexts: 26, ContextTokens: 6100, UniqueTokens: 580, Output: 52,
			},
			{
				Name: "summary", PerSecond: 22.5, Urgency: 0, Target: 400, Timeout: 2000, Worth: 2,
				Roots: 20, RootTokens: 341, Contexts: 34, ContextTokens: 1700, UniqueTokens: 360, Output: 24,
			},
			{
				Name: "chat", PerSecond: 21.4, Urgency: 2, Target: 300, Timeout: 2000, Worth: 0.49,
				Roots: 40, RootTokens: 103, Contexts: 32, ContextTokens: 500, UniqueTokens: 110, Output: 280,
			},
		},
	}
}

// Halls returns a site of the size that is planned next: 31 entries before 56
// engines, six times as many callers, and digests that come at their slowest while
// all prompts are new.
func Halls() Site {
	site := Kitchen()
	site.Entries, site.Engines, site.DigestInterval = 31, 56, 600
	site.Engine.Memory = 173000
	site.Classes = slices.Clone(site.Classes)
	for i, things := range []int{129, 166, 158} {
		site.Classes[i].PerSecond *= 6.3
		site.Classes[i].Contexts = things
	}
	return site
}

// FastEngines returns a site of the kind that joined last: four entries before eighteen
// engines that read twice as fast as those of the kitchen, with a fifth of the memory
// for a token, long catalogues that are most urgent, replies, and short tags.
func FastEngines() Site {
	return Site{
		Entries: 4, Engines: 18, DigestInterval: 100, LoadFactor: 2,
		Engine: EngineSettings{
			Slots: 64, Memory: 539000, Step: 3, StepPerRequest: 0.12, PrefillRate: 92, Chunk: 1024,
			TokenBytes: 35136, LinkRate: 1.375e8,
		},
		Classes: []Class{
			{
				Name: "catalogue", PerSecond: 28.5, Urgency: 0, Target: 800, Timeout: 3200, Worth: 5.6,
				Roots: 3, RootTokens: 512, Contexts: 43, ContextTokens: 10000, UniqueTokens: 1300, Output: 384,
			},
			{
				Name: "reply", PerSecond: 41.7, Urgency: 1, Target: 800, Timeout: 3200, Worth: 1.2,
				Roots: 40, RootTokens: 119, Contexts: 94, ContextTokens: 580, UniqueTokens: 130, Output: 294,
			},
			{
				Name: "tag", PerSecond: 55.1, Urgency: 2, Target: 1200, Timeout: 3000, Worth: 0.32,
				Roots: 20, RootTokens: 341, Contexts: 83, ContextTokens: 1700, UniqueTokens: 360, Output: 24,
			},
		},
	}
}

// CostlyTransfers returns a site whose engines read a third as fast as those of the counter and
// have nine times as much memory for a token, so that moving a prompt costs the
// operators a quarter more than reading it again.
func CostlyTransfers() Site {
	site := FastEngines().WithTransfers(300000, 1.375e8)
	site.Engine.PrefillRate, site.Engine.Memory = 30, 300000
	site.PrefillPrice, site.MovePrice = 0.63, 2.7
	return site
}

// WithTransfers returns the site with engines that hand on what they have cached:
// the memory of a token in bytes, and the bytes that a link carries in a millisecond.
func (site Site) WithTransfers(tokenBytes, linkRate float64) Site {
	site.Engine.TokenBytes, site.Engine.LinkRate = tokenBytes, linkRate
	return site
}

// WithPrices returns the site with what reading again and moving cost.
func (site Site) WithPrices(read, move float64) Site {
	site.PrefillPrice, site.MovePrice = read, move
	return site
}

// WithLoadFactor returns the site with another bound.
func (site Site) WithLoadFactor(bound float64) Site {
	site.LoadFactor = bound
	return site
}

// WithDigestInterval returns the site with another time between digests.
func (site Site) WithDigestInterval(span timekeeper.Span) Site {
	site.DigestInterval = span
	return site
}
