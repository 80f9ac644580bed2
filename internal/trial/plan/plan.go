// Package plan draws trials: from a seed, the settings of a deployment and a schedule of faults. It does no I/O and
// reads no clock, so that a seed always gives the same plan.
package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds of what is drawn.
const (
	minProcesses, maxProcesses = 2, 6
	minPools, maxPools         = 3, 5
	minFaults, maxFaults       = 7, 12
	maxClasses                 = 3
	maxReleaseWaitTenths       = 6 // of a second
	minCallRate, maxCallRate   = 20, 80
	minHolding, maxHolding     = 300 * time.Millisecond, 3 * time.Second
	// unsafeOneIn is how seldom a class is one that must not be repeated.
	unsafeOneIn = 3
	// length is for how long callers arrive.
	length = 12 * time.Second
	// earliestFault and latestFault bound the beginnings of faults.
	earliestFault = 500 * time.Millisecond
	latestFault   = 9 * time.Second
	// randomStream sets the random numbers of plans apart from others of the same seed, requiredStream those of faults
	// that are added to them.
	randomStream   = 41
	requiredStream = 43
)

// Class is a class of calls.
type Class struct {
	Name      string
	Deadline  time.Duration
	Objective time.Duration
	Unsafe    bool // must not be repeated after an attempt that may have run
}

// Plan is one trial.
type Plan struct {
	Seed        uint64
	Processes   int
	Pools       int
	Length      time.Duration
	Classes     []Class
	MemoryMB    int
	Sockets     int
	ReleaseWait time.Duration
	CallRate    float64       // calls a second at all processes together
	HoldingTime time.Duration // mean, of a call
	Sites       bool          // each process has a site on a WebSocket, beside its callers
	Faults      []Fault       // by their beginnings
}

// LongestDeadline is the longest deadline of the classes.
func (p *Plan) LongestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range p.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// Without is the plan without one of its faults.
func (p *Plan) Without(index int) *Plan {
	reduced := *p
	reduced.Faults = make([]Fault, 0, len(p.Faults))
	reduced.Faults = append(reduced.Faults, p.Faults[:index]...)
	reduced.Faults = append(reduced.Faults, p.Faults[index+1:]...)
	return &reduced
}

// Generate draws the plan of a seed. Faults are of the kinds given; nil stands for all.
func Generate(seed uint64, kinds []Kind) *Plan {
	random := rand.New(rand.NewPCG(seed, randomStream))
	if len(kinds) == 0 {
		kinds = Kinds()
	}
	drawn := &Plan{
		Seed:        seed,
		Processes:   between(random, minProcesses, maxProcesses),
		Pools:       between(random, minPools, maxPools),
		Length:      length,
		MemoryMB:    pick(random, memoryChoices()),
		Sockets:     pick(random, socketChoices()),
		ReleaseWait: time.Duration(between(random, 1, maxReleaseWaitTenths)) * time.Second / 10,
		CallRate:    float64(between(random, minCallRate, maxCallRate)),
		HoldingTime: durationBetween(random, minHolding, maxHolding),
	}
	drawn.generateClasses(random)
	drawn.generateFaults(random, kinds)
	drawn.generateCrowds()
	return drawn
}

// Require adds a fault of each of these kinds that the plan has none of.
func (p *Plan) Require(kinds []Kind) {
	random := rand.New(rand.NewPCG(p.Seed, requiredStream))
	for _, kind := range kinds {
		fault := p.generateFault(random, kind)
		if !slices.ContainsFunc(p.Faults, func(other Fault) bool { return other.Kind == kind }) {
			p.Faults = append(p.Faults, fault)
		}
	}
	p.sortFaults()
	p.generateCrowds()
}

func (p *Plan) generateClasses(random *rand.Rand) {
	for n := range between(random, 1, maxClasses) {
		deadline := pick(random, deadlineChoices())
		p.Classes = append(p.Classes, Class{
			Name:      fmt.Sprintf("class-%d", n),
			Deadline:  deadline,
			Objective: deadline / 2,
			Unsafe:    random.IntN(unsafeOneIn) == 0,
		})
	}
}

func between(random *rand.Rand, low, high int) int { return low + random.IntN(high-low+1) }

func pick[T any](random *rand.Rand, choices []T) T { return choices[random.IntN(len(choices))] }

func memoryChoices() []int { return []int{32, 64, 96, 192} }

func socketChoices() []int { return []int{192, 384, 512, 1024} }

func deadlineChoices() []time.Duration {
	return []time.Duration{
		400 * time.Millisecond, 800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 6 * time.Second,
		15 * time.Second,
	}
}

// durationBetween draws a duration in whole milliseconds.
func durationBetween(random *rand.Rand, low, high time.Duration) time.Duration {
	return time.Duration(between(random, int(low.Milliseconds()), int(high.Milliseconds()))) * time.Millisecond
}
