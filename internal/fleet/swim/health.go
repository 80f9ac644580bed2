package swim

// maxHealthScore is the worst local health score: time-outs are then 9 times as long.
const maxHealthScore = 8

// healthScore is Lifeguard's local health: 0 is healthy. A node raises it when it has reason to believe that the fault
// is its own (missing nacks, a suspicion of itself, a stall), and lowers it with each probe that is acknowledged. One
// more than the score is the local health multiplier of the node's probe interval and time-outs.
type healthScore int

func (h *healthScore) degrade(by int) { *h = min(*h+healthScore(by), maxHealthScore) }

func (h *healthScore) improve() { *h = max(*h-1, 0) }

// scale multiplies a duration by the local health multiplier.
func (h healthScore) scale(micros int64) int64 { return micros * int64(h+1) }
