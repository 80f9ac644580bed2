// Package coldstart is what a pool's process can do after its start, and what makes it fall over, as the site's
// settings say: for the budgets of cold pools, and for the pools of the simulator and the tests. Times are µs.
package coldstart

// Start is how a process starts: with Share of its capacity, which grows to all of it over For. Sent more than
// Multiple times what it can do at the moment for After, by all senders, it falls over.
type Start struct {
	Share    float64
	For      int64
	Multiple float64
	After    int64
}

// Part is the part of its capacity that a process of that age has, and whether it is cold.
func (s Start) Part(age int64) (part float64, cold bool) {
	if age >= s.For {
		return 1, false
	}
	return s.Share + (1-s.Share)*float64(max(age, 0))/float64(s.For), true
}

// Load is what was sent to a cold process. The zero value is ready.
type Load struct {
	arrived []int64 // in the last After
	worst   float64
}

// Arrive takes a set-up at a cold process that can do so many a second now.
func (l *Load) Arrive(now int64, s Start, rate float64) {
	if s.After <= 0 {
		return
	}
	l.arrived = append(l.arrived, now)
	for now-l.arrived[0] > s.After {
		l.arrived = l.arrived[1:]
	}
	l.worst = max(l.worst, float64(len(l.arrived))/(s.Multiple*rate*float64(s.After)/1e6))
}

// Restart begins anew with a new process; the worst is kept.
func (l *Load) Restart() { l.arrived = nil }

// Worst is the most that was ever sent, as a part of what makes it fall over: over 1 it has.
func (l *Load) Worst() float64 { return l.worst }
