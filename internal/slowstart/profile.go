// Package slowstart models what a server's process can do after its start: it begins with a part of its capacity, which
// grows linearly to all of it, and is overloaded when it gets more than a multiple of what it can do at the moment. The
// figures come from the site's settings. Quotas of warming servers use it, and the servers of the simulator and the
// tests.
//
// Times are microseconds.
package slowstart

// microsPerSecond converts rates, which are a second, to windows.
const microsPerSecond = 1e6

// Profile is how a process warms up.
type Profile struct {
	InitialCapacity  float64 // part of its capacity that it has at its start, 0 to 1
	Window           int64   // it has all of its capacity after this time
	OverloadMultiple float64 // arrivals over this multiple of its capacity, from all senders together,
	OverloadWindow   int64   // within this time, overload a process that is warming up
}

// CapacityAt returns the part of its capacity that a process of that age has, and whether it is still warming up.
func (p Profile) CapacityAt(age int64) (part float64, warmingUp bool) {
	if age >= p.Window {
		return 1, false
	}
	return p.InitialCapacity + (1-p.InitialCapacity)*float64(max(age, 0))/float64(p.Window), true
}

// MaxArrivals returns how many set-ups of mean work all senders together may send within OverloadWindow to a process
// that can take rate of them a second now.
func (p Profile) MaxArrivals(rate float64) float64 {
	return p.OverloadMultiple * rate * float64(p.OverloadWindow) / microsPerSecond
}
