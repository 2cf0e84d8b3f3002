package retrier

// Settings set up a budget. The zero value of a field means its default.
type Settings struct {
	// Ratio is how many retries each call earns; zero means a half. At a half
	// the agents of a saturated service see at most 1.5 offers a call, while a
	// service in which every third call spills is still served whole.
	Ratio float64
	// Reserve is how many retries are there at the start, and the most that
	// quiet times save up; zero means 20.
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

// Budget is what an entry may still spend on retries for one service. Its
// caller holds a lock around it.
type Budget struct {
	settings Settings
	left     float64
}

// NewBudget returns a full budget.
func NewBudget(settings Settings) *Budget {
	settings = settings.withDefaults()
	return &Budget{settings: settings, left: settings.Reserve}
}

// Earn notes a call.
func (budget *Budget) Earn() {
	budget.left = min(budget.settings.Reserve, budget.left+budget.settings.Ratio)
}

// Spend takes one retry out of the budget and reports whether there was one.
func (budget *Budget) Spend() bool {
	if budget.left < 1 {
		return false
	}
	budget.left--
	return true
}
