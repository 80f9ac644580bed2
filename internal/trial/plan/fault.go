package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault, or of an operator's act.
type Kind int

// The kinds.
const (
	PoolHang             Kind = iota // answers nothing for a while
	PoolVanish                       // its machine is gone: all its connections fall silent, and it is removed later
	PoolReplace                      // ends; another takes its address
	PoolRestart                      // its process starts anew
	PoolDrain                        // is drained, and comes back
	PoolSpoil                        // its next answers are not readable
	PoolRepeat                       // its next answers bring more than belongs to them
	LinkCut                          // connections to it are reset, and new ones refused
	LinkBlackHole                    // what is sent to it or by it does not arrive
	LinkNoAccept                     // it accepts no connection
	LinkOneByte                      // its messages come a byte at a time
	LinkReset                        // a connection is reset in the middle of its next message
	LinkHalf                         // half of its next message comes, then the connection ends
	LinkFin                          // a connection ends right behind a message
	ListSilent                       // the endpoint list's server answers nothing
	ListRefused                      // it is down
	ListBroken                       // it breaks off in the middle of an event
	ListMoved                        // it moves: new configurations with SIGHUP in quick succession
	OperatorDrain                    // an operator empties a process
	OperatorDrainAll                 // an operator empties all processes at once
	OperatorSilent                   // callers of the control address that say nothing, or half a call
	ProcessStop                      // SIGTERM, SIGKILL at the page's earliest, a start
	ProcessStopAll                   // so with one process after another
	ProcessKill                      // SIGKILL, a start
	ProcessHangup                    // SIGHUP in series
	CallersLeave                     // callers give up early, by a release or by closing
	CallersSlow                      // callers write their set-ups in pieces
	CallersRetry                     // callers that were not answered come again at once
	CallersBad                       // bad clients
	CallersCrowd                     // connections by the hundred that say nothing
	ProcessUpgrade                   // a second process replaces the first, several times in a row
	ProcessUpgradeAll                // so at all processes at once
	ProcessUpgradeKilled             // the second process is killed
	LogBlocked                       // nobody reads a process's log
	kindCount
)

//nolint:gochecknoglobals // a constant table, which Go has no constant form for
var kindNames = [kindCount]string{
	PoolHang: "pool-hang", PoolVanish: "pool-vanish", PoolReplace: "pool-replace", PoolRestart: "pool-restart",
	PoolDrain: "pool-drain", PoolSpoil: "pool-spoil", PoolRepeat: "pool-repeat",
	LinkCut: "link-cut", LinkBlackHole: "link-blackhole", LinkNoAccept: "link-noaccept", LinkOneByte: "link-onebyte",
	LinkReset: "link-reset", LinkHalf: "link-half", LinkFin: "link-fin",
	ListSilent: "list-silent", ListRefused: "list-refused", ListBroken: "list-broken", ListMoved: "list-moved",
	OperatorDrain: "operator-drain", OperatorDrainAll: "operator-drain-all", OperatorSilent: "operator-silent",
	ProcessStop: "process-stop", ProcessStopAll: "process-stop-all", ProcessKill: "process-kill",
	ProcessHangup: "process-hangup",
	CallersLeave:  "callers-leave", CallersSlow: "callers-slow", CallersRetry: "callers-retry",
	CallersBad: "callers-bad", CallersCrowd: "callers-crowd",
	ProcessUpgrade: "process-upgrade", ProcessUpgradeAll: "process-upgrade-all",
	ProcessUpgradeKilled: "process-upgrade-killed", LogBlocked: "log-blocked",
}

// String returns the kind's name, as flags and tables have it.
func (k Kind) String() string { return kindNames[k] }

// Kinds are all kinds.
func Kinds() []Kind {
	kinds := make([]Kind, kindCount)
	for n := range kinds {
		kinds[n] = Kind(n)
	}
	return kinds
}

// UnknownKindError is a name that is no kind's.
type UnknownKindError struct{ Name string }

func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("faults: %q is not known; want some of %v", e.Name, kindNames)
}

// ParseKinds reads names of kinds.
func ParseKinds(names []string) ([]Kind, error) {
	kinds := make([]Kind, 0, len(names))
	for _, name := range names {
		index := slices.Index(kindNames[:], name)
		if index < 0 {
			return nil, &UnknownKindError{Name: name}
		}
		kinds = append(kinds, Kind(index))
	}
	return kinds, nil
}

// Fault is one fault of a schedule. What it does not need is drawn all the same.
type Fault struct {
	Kind     Kind
	At       time.Duration
	Duration time.Duration
	Process  int
	Pool     int
	Count    int           // of answers, signals or connections
	Sign     CrowdSign     // of a crowd's connections
	Away     time.Duration // of all callers, as a crowd comes
	Pause    time.Duration // until a connection of a crowd that was closed is opened again
}

// String is the fault as timelines and tables show it.
func (f Fault) String() string {
	text := fmt.Sprintf("%.2fs %s process %d pool %d for %.2fs count %d",
		f.At.Seconds(), f.Kind, f.Process, f.Pool, f.Duration.Seconds(), f.Count)
	if f.Kind == CallersCrowd {
		text += fmt.Sprintf(" sends %s, callers away for %.2fs", f.Sign, f.Away.Seconds())
	}
	return text
}

// Durations of faults: short enough that the trial sees what follows.
const (
	minFaultDuration, maxFaultDuration = 300 * time.Millisecond, 4 * time.Second
	minLameDuck, maxLameDuck           = 200 * time.Millisecond, 6 * time.Second
	maxOutage                          = 8 * time.Second // of the endpoint list
	maxFaultCount                      = 4
	// drainSpread is how close to the return of the endpoint list a drain that goes with its fault is.
	drainSpread = time.Second
)

// generateFaults draws the schedule. With a fault of the endpoint list goes a drain close to its end.
func (p *Plan) generateFaults(random *rand.Rand, kinds []Kind) {
	for range between(random, minFaults, maxFaults) {
		fault := p.generateFault(random, kinds[random.IntN(len(kinds))])
		p.Faults = append(p.Faults, fault)
		if fault.Kind != ListSilent && fault.Kind != ListRefused || !slices.Contains(kinds, PoolDrain) {
			continue
		}
		drain := p.generateFault(random, PoolDrain)
		drain.At = max(0, fault.At+fault.Duration+durationBetween(random, -drainSpread, drainSpread))
		p.Faults = append(p.Faults, drain)
	}
	p.sortFaults()
}

// sortFaults sorts the faults by their beginnings.
func (p *Plan) sortFaults() {
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
}

func (p *Plan) generateFault(random *rand.Rand, kind Kind) Fault {
	fault := Fault{
		Kind:     kind,
		At:       durationBetween(random, earliestFault, latestFault),
		Duration: durationBetween(random, minFaultDuration, maxFaultDuration),
		Process:  random.IntN(p.Processes),
		Pool:     random.IntN(p.Pools),
		Count:    between(random, 1, maxFaultCount),
	}
	switch kind { //nolint:exhaustive // the others last as drawn
	case OperatorDrain, OperatorDrainAll:
		fault.Duration = durationBetween(random, minLameDuck, maxLameDuck)
	case ListSilent, ListRefused:
		fault.Duration = durationBetween(random, minFaultDuration, maxOutage)
	}
	return fault
}
