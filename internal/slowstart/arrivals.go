package slowstart

// maxRemembered bounds the arrivals that are remembered; no process is allowed as many within its OverloadWindow.
const maxRemembered = 1 << 16

// Arrivals counts what a warming process is sent. The zero value is ready.
type Arrivals struct {
	recent []int64 // within the last OverloadWindow, oldest first
	worst  float64
}

// Add counts an arrival at a process that can take rate set-ups a second now. It returns how many arrived within
// OverloadWindow, this one included.
func (a *Arrivals) Add(now int64, p Profile, rate float64) int {
	if p.OverloadWindow <= 0 {
		return 0
	}
	a.recent = append(a.recent, now)
	for now-a.recent[0] > p.OverloadWindow || len(a.recent) > maxRemembered {
		a.recent = a.recent[1:]
	}
	a.worst = max(a.worst, float64(len(a.recent))/p.MaxArrivals(rate))
	return len(a.recent)
}

// Restart forgets the arrivals of the process before; the worst load is kept.
func (a *Arrivals) Restart() { a.recent = nil }

// Worst returns the most that ever arrived, as a part of what overloads the process: over 1 it was overloaded.
func (a *Arrivals) Worst() float64 { return a.worst }
