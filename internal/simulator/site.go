package simulator

import (
	"slices"

	"github.com/trefoilseam/trefoilseam/pkg/timekeeper"
)

// Class describes requests with the same arrival rate, priority, targets and prompt sizes.
type Class struct {
	Name string
	// PerSecond is the arrival rate at a load of one.
	PerSecond float64
	// Urgency is the priority of the class; zero is the highest.
	Urgency int
	// Target is the time within which the first event counts as on time, Timeout how long
	// the caller waits for it.
	Target, Timeout timekeeper.Span
	// Roots is the number of distinct first prompt parts, of RootTokens each. Contexts is
	// the number of distinct second parts, of ContextTokens each; a context always follows
	// the same root.
	Roots, RootTokens       int
	Contexts, ContextTokens int
	// UniqueTokens is the size of the part that no other request shares, Output the number
	// of tokens of the answer.
	UniqueTokens, Output int
	// Worth is the weight of one request of the class in Report.Worth.
	Worth float64
}

// Site is the simulated fleet and its traffic at a load of one.
type Site struct {
	Entries int
	Engines int
	Engine  EngineSettings
	Classes []Class
	// DigestInterval is the time between two digests of an entry; zero disables digests.
	DigestInterval timekeeper.Span
	// LoadFactor bounds the requests of a replica, as a multiple of the mean.
	LoadFactor float64
	// PrefillPrice is the operators' cost of prefilling a thousand shared tokens again,
	// MovePrice that of transferring a gigabyte between engines, both in the unit of Worth.
	// Entries are configured with the ratio of the two; if either is zero, they use the
	// balancer's default.
	PrefillPrice, MovePrice float64
}

// Kitchen returns a site of the current size: four entries in front of nine engines.
// Long prompts are urgent, short ones more urgent, and long answers least urgent.
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

// Halls returns a site of the next planned size: 31 entries in front of 56 engines,
// six times as many callers, and the digest interval that real entries have while all
// prompts are new, which is their longest.
func Halls() Site {
	site := Kitchen()
	site.Entries, site.Engines, site.DigestInterval = 31, 56, 600
	site.Engine.Memory = 173000
	site.Classes = slices.Clone(site.Classes)
	for i, contexts := range []int{129, 166, 158} {
		site.Classes[i].PerSecond *= 6.3
		site.Classes[i].Contexts = contexts
	}
	return site
}

// FastEngines returns a site like the one added last: four entries in front of eighteen
// engines that prefill twice as fast as those of Kitchen and need a fifth of the memory
// for a token. Long catalogues are most urgent, then replies, then short tags.
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

// CostlyTransfers returns a site whose engines prefill a third as fast as those of
// FastEngines and need nine times as much memory for a token, so that transferring a
// prompt costs the operators a quarter more than prefilling it again.
func CostlyTransfers() Site {
	site := FastEngines().WithTransfers(300000, 1.375e8)
	site.Engine.PrefillRate, site.Engine.Memory = 30, 300000
	site.PrefillPrice, site.MovePrice = 0.63, 2.7
	return site
}

// WithTransfers returns the site with transfers of cached parts between engines, given
// the memory of a token in bytes and the bytes that a link transfers in a millisecond.
func (site Site) WithTransfers(tokenBytes, linkRate float64) Site {
	site.Engine.TokenBytes, site.Engine.LinkRate = tokenBytes, linkRate
	return site
}

// WithPrices returns the site with other prices of prefill and of transfers.
func (site Site) WithPrices(prefill, move float64) Site {
	site.PrefillPrice, site.MovePrice = prefill, move
	return site
}

// WithLoadFactor returns the site with another load factor.
func (site Site) WithLoadFactor(factor float64) Site {
	site.LoadFactor = factor
	return site
}

// WithDigestInterval returns the site with another interval between digests.
func (site Site) WithDigestInterval(interval timekeeper.Span) Site {
	site.DigestInterval = interval
	return site
}
