package retrier

// Settings configures a Budget. A zero field means its default.
type Settings struct {
	// Ratio is how many retries each call adds to the budget; zero means a half. At
	// a half the agents of a saturated service see at most 1.5 offers per call,
	// while a service in which every third call has to be offered again is still
	// served in full.
	Ratio float64
	// Reserve is the budget at the start and its maximum; zero means 20.
	Reserve float64
}

func (settings Settings) withDefaults() Settings {
	if settings.Ratio == 0 {
		settings.Ratio = 0.5
	}
	if settings.Reserve == 0 {
		settings.Reserve = 20
	}
	return settings
}

// Budget limits the retries of an entry for one service. Its caller must hold a
// lock around it.
type Budget struct {
	settings  Settings
	remaining float64
}

// NewBudget returns a full budget.
func NewBudget(settings Settings) *Budget {
	settings = settings.withDefaults()
	return &Budget{settings: settings, remaining: settings.Reserve}
}

// Earn adds the retries that a new call allows to the budget.
func (budget *Budget) Earn() {
	budget.remaining = min(budget.settings.Reserve, budget.remaining+budget.settings.Ratio)
}

// Spend takes one retry from the budget and reports whether there was one.
func (budget *Budget) Spend() bool {
	if budget.remaining < 1 {
		return false
	}
	budget.remaining--
	return true
}
