package fakeplatform

import (
	"sync"
	"time"

	"eidertrail/internal/slowstart"
)

// Processor is the single-line processor of a stand-in pool: set-ups are worked off one by one, a wait that
// would be too long turns them away, and a process that has just started is cold: it does a share of its
// work at first, and more as it warms up. It is safe for concurrent use.
type Processor struct {
	Work              time.Duration // a set-up takes this long on a warm processor
	MaxWait           time.Duration // a set-up that would wait longer is turned away
	SlowStartCapacity float64       // of its capacity, right after Start
	SlowStartWindow   time.Duration // warm after this
	// Fall: set-ups of more than FallMultiple times what it can do at the moment for FallAfter, from all
	// senders, make a cold processor fall over.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	mu      sync.Mutex
	started time.Time // zero: warm
	freeAt  time.Time
	load    slowstart.Arrivals
	slow    float64
	full    int
}

// Start makes the processor that of a process that starts now, cold.
func (p *Processor) Start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started, p.freeAt = now, now
	p.load.Restart()
}

// Slow makes everything take times as long; 1 ends it.
func (p *Processor) Slow(times float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slow = times
}

// capacity is the set-ups a second that it can take now. The caller holds mu.
func (p *Processor) capacity(now time.Time) (rate float64, cold bool) {
	rate = float64(time.Second) / float64(p.Work) / max(p.slow, 1)
	if p.started.IsZero() {
		return rate, false
	}
	part, cold := p.start().CapacityAt(now.Sub(p.started).Microseconds())
	return rate * part, cold
}

func (p *Processor) start() slowstart.Profile {
	return slowstart.Profile{InitialCapacity: p.SlowStartCapacity, Window: p.SlowStartWindow.Microseconds(), OverloadMultiple: p.OverloadMultiple, OverloadWindow: p.OverloadWindow.Microseconds()}
}

// Arrive takes a set-up: after is when it is answered, or full tells that it is turned away.
func (p *Processor) Arrive(now time.Time) (after time.Duration, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate, cold := p.capacity(now)
	if cold {
		p.load.Add(now.UnixMicro(), p.start(), rate)
	}
	from := now
	if p.freeAt.After(now) {
		from = p.freeAt
	}
	if from.Sub(now) > p.MaxWait {
		p.full++
		return 0, true
	}
	p.freeAt = from.Add(time.Duration(float64(time.Second) / rate))
	return p.freeAt.Sub(now), false
}

// Worst is the most that was ever sent to it while cold, as a part of what makes it fall over: over 1 it has.
func (p *Processor) Worst() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.load.Worst()
}

// Full is how many set-ups it turned away.
func (p *Processor) Full() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.full
}
