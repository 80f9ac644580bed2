package fakeplatform

import (
	"sync"
	"time"

	"eidertrail/internal/slowstart"
)

// Processor is the single processor of a fake pool: set-ups are served one by one, one that would wait too long is
// rejected, and a process that has just started serves fewer until its slow start is over. It is safe for concurrent
// use.
type Processor struct {
	ServiceTime       time.Duration // the service time of a set-up after the slow start
	MaxWait           time.Duration // a set-up that would wait longer is rejected
	SlowStartCapacity float64       // the part of its capacity that the process has at its start
	SlowStartWindow   time.Duration // the process has all of its capacity after this
	// Set-ups of more than OverloadMultiple times its capacity of the moment within OverloadWindow, from all senders,
	// overload a process in slow start.
	OverloadMultiple float64
	OverloadWindow   time.Duration

	mu            sync.Mutex
	startedAt     time.Time // zero: long ago
	busyUntil     time.Time
	arrivals      slowstart.Arrivals
	serviceFactor float64
	rejected      int
}

// Start makes the processor that of a process that starts now.
func (p *Processor) Start(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startedAt, p.busyUntil = now, now
	p.arrivals.Restart()
}

// SetServiceFactor multiplies the service time; 1 ends it.
func (p *Processor) SetServiceFactor(factor float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serviceFactor = factor
}

// Arrive handles a set-up: it is answered after a time, or rejected as the processor has too much to do.
func (p *Processor) Arrive(now time.Time) (after time.Duration, full bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate, warmingUp := p.rate(now)
	if warmingUp {
		p.arrivals.Add(now.UnixMicro(), p.profile(), rate)
	}
	start := now
	if p.busyUntil.After(now) {
		start = p.busyUntil
	}
	if start.Sub(now) > p.MaxWait {
		p.rejected++
		return 0, true
	}
	p.busyUntil = start.Add(time.Duration(float64(time.Second) / rate))
	return p.busyUntil.Sub(now), false
}

// MaxLoad is the most that arrived in slow start, as a part of what overloads the process: over 1 it was overloaded.
func (p *Processor) MaxLoad() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals.Worst()
}

// Rejected is the number of set-ups that were rejected.
func (p *Processor) Rejected() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rejected
}

// rate is the set-ups a second that the processor can serve now. The caller holds mu.
func (p *Processor) rate(now time.Time) (rate float64, warmingUp bool) {
	rate = float64(time.Second) / float64(p.ServiceTime) / max(p.serviceFactor, 1)
	if p.startedAt.IsZero() {
		return rate, false
	}
	capacity, warmingUp := p.profile().CapacityAt(now.Sub(p.startedAt).Microseconds())
	return rate * capacity, warmingUp
}

func (p *Processor) profile() slowstart.Profile {
	return slowstart.Profile{
		InitialCapacity:  p.SlowStartCapacity,
		Window:           p.SlowStartWindow.Microseconds(),
		OverloadMultiple: p.OverloadMultiple,
		OverloadWindow:   p.OverloadWindow.Microseconds(),
	}
}
