package simulation

import (
	"cmp"
	"slices"

	"eidertrail/internal/slowstart"
)

// Model is what a pool does with set-ups, for stand-ins outside the simulator too. It is not safe for concurrent use.
type Model = pool

// NewModel is the ith pool of a kind.
func NewModel(p Pool, i int) *Model {
	return &pool{Pool: p, uid: p.uid(i), group: p.Group + i, slow: 1, errors: p.Errors, standing: map[*attempt]bool{}}
}

// UID is the pool's name.
func (p *pool) UID() string { return p.uid }

// GroupOf is the number by which calls name the pool.
func (p *pool) GroupOf() int { return p.group }

// Free gives an agent back that Arrive took, of the process that was born then.
func (p *pool) Free(born int64) {
	if p.born == born {
		p.held--
	}
}

// Born is when its process started, 0: long ago.
func (p *pool) Born() int64 { return p.born }

// Slow makes its work take times as long.
func (p *pool) Slow(times float64) { p.slow *= times }

// Err sets the share of set-ups that end in a fault.
func (p *pool) Err(share float64) { p.errors = share }

// Left is how many agents are free.
func (p *pool) Left() int { return p.Agents - p.held }

// pool is a simulated pool: agents, and a processor with one line. Times are µs.
type pool struct {
	Pool
	uid     string
	group   int
	kind    int // which of the scenario's
	address string

	born     int64 // its process started then, cold; 0: long ago
	down     bool  // its process has died
	cut      bool  // its machine is cut off
	draining bool
	gone     bool
	slow     float64 // times the work
	errors   float64
	held     int // agents
	freeAt   int64
	standing map[*attempt]bool  // in any order; ended in that of their numbers
	load     slowstart.Arrivals // while cold
	got      int
	full     int // set-ups that found no agent, or a processor with too long a wait
}

// rate is the set-ups a second that it can take now, and whether it is cold.
func (p *pool) rate(now int64, s *Settings) (rate float64, cold bool) {
	rate = 1e6 / float64(p.Work.Microseconds()) / max(p.slow, 1e-3)
	if p.born == 0 {
		return rate, false
	}
	part, cold := s.start().CapacityAt(now - p.born)
	return rate * part, cold
}

func (s *Settings) start() slowstart.Profile {
	return slowstart.Profile{InitialCapacity: s.ColdShare, Window: s.Cold.Microseconds(), OverloadMultiple: s.FallMultiple, OverloadWindow: s.FallAfter.Microseconds()}
}

// Verdict is what becomes of a set-up that arrives.
type Verdict int

// The verdicts.
const (
	Taken   Verdict = iota // answered after a time; it holds an agent
	Refused                // nobody listens
	Silent                 // nothing comes back
	NoAgent
	Swamped
	Fault
)

// Arrive takes a set-up, and tells after which time the pool answers.
func (p *pool) Arrive(now int64, s *Settings, lot float64) (Verdict, int64) {
	switch {
	case p.cut:
		return Silent, 0
	case p.down || p.gone:
		return Refused, 0
	}
	p.got++
	rate, cold := p.rate(now, s)
	if cold {
		p.load.Add(now, s.start(), rate)
	}
	wait := max(0, p.freeAt-now)
	work := int64(1e6 / rate)
	switch {
	case p.MostWait > 0 && wait > p.MostWait.Microseconds():
		p.full++
		p.freeAt = max(p.freeAt, now) + work/5 // turning away is work, too
		return Swamped, 1000
	case lot < p.errors:
		p.freeAt = max(p.freeAt, now) + work/2
		return Fault, wait + work/2
	case p.held >= p.Agents:
		p.full++
		p.freeAt = max(p.freeAt, now) + work/5
		return NoAgent, wait + work/5
	}
	p.held++ // from now on: the agent is rung
	p.freeAt = max(p.freeAt, now) + work
	return Taken, wait + work
}

// repeated takes a set-up that it has already: finding that out is work.
func (p *pool) repeated(now int64, s *Settings) {
	if p.cut || p.down || p.gone {
		return
	}
	rate, cold := p.rate(now, s)
	if cold {
		p.load.Add(now, s.start(), rate)
	}
	p.freeAt = max(p.freeAt, now) + int64(1e6/rate)/5
}

// Start is a new process in its place.
func (p *pool) Start(now int64) {
	p.born, p.down, p.held, p.freeAt = now, false, 0, now
	p.load.Restart()
	p.standing = map[*attempt]bool{}
}

// calls are the attempts that it holds agents for, in the order of their numbers.
func (p *pool) calls() []*attempt {
	all := make([]*attempt, 0, len(p.standing))
	for a := range p.standing {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Compare(a.id, b.id) })
	return all
}
