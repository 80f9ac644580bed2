// Package coldstart is what a pool's process can do after its start, and what makes it fall over, as the site's
// settings say: for the budgets of cold pools, and for the pools of the simulator and the tests. Times are µs.
package slowstart

// Profile is how a process starts: with Share of its capacity, which grows to all of it over For. Sent more than
// Multiple times what it can do at the moment for After, by all senders, it falls over.
type Profile struct {
	InitialCapacity  float64
	Window           int64
	OverloadMultiple float64
	OverloadWindow   int64
}

// CapacityAt is the part of its capacity that a process of that age has, and whether it is cold.
func (s Profile) CapacityAt(age int64) (part float64, cold bool) {
	if age >= s.Window {
		return 1, false
	}
	return s.InitialCapacity + (1-s.InitialCapacity)*float64(max(age, 0))/float64(s.Window), true
}

// MaxArrivals is the set-ups of mean work that all senders together may send within After to a process that can do rate of
// them a second now.
func (s Profile) MaxArrivals(rate float64) float64 {
	return s.OverloadMultiple * rate * float64(s.OverloadWindow) / 1e6
}

// Arrivals is what was sent to a cold process. The zero value is ready.
type Arrivals struct {
	arrived []int64 // in the last After, at most mostArrived of them
	worst   float64
}

// mostArrived bounds the set-ups that are remembered; no process is allowed as many within After.
const mostArrived = 1 << 16

// Add takes a set-up at a cold process that can do so many a second now. It returns how many came within After,
// this one included.
func (l *Arrivals) Add(now int64, s Profile, rate float64) int {
	if s.OverloadWindow <= 0 {
		return 0
	}
	l.arrived = append(l.arrived, now)
	for now-l.arrived[0] > s.OverloadWindow || len(l.arrived) > mostArrived {
		l.arrived = l.arrived[1:]
	}
	l.worst = max(l.worst, float64(len(l.arrived))/s.MaxArrivals(rate))
	return len(l.arrived)
}

// Restart begins anew with a new process; the worst is kept.
func (l *Arrivals) Restart() { l.arrived = nil }

// Worst is the most that was ever sent, as a part of what makes it fall over: over 1 it has.
func (l *Arrivals) Worst() float64 { return l.worst }
