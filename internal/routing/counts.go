package routing

// Counts is what a Router has seen; all only grow.
type Counts struct {
	ZonesEjected uint64
	Flaps        uint64 // ejections within Config.FlapWindow of a zone's return
	// SlowStartCapped and SpillCapped count the endpoints left out of an Eligible by slow start or spill budget.
	SlowStartCapped, SpillCapped uint64
}

// Counts returns what the Router has seen.
func (r *Router) Counts() Counts { return r.counts }
