// Package heartbeat tells from the states that pools tell unasked which of them have fallen silent. A pool
// tells its state in a rhythm of its own; one that begins to drain stops telling it at once, seconds before
// the list of pools says so, and what is set up there from then on is cut when it stops. So does one whose
// process hangs.
//
// It narrows what the decision module may choose from, as a drain does, and never chooses. It does no I/O
// and reads no clock: every call is given the time in µs. A Monitor is not safe for concurrent use.
package liveness

import (
	"math"
	"slices"
)

const (
	// leastBeats gaps must be known before a pool is judged by them.
	leastBeats = 4
	// slackShare of the rhythm, and leastSlack, is how late a state may come: networks and busy loops jitter.
	slackShare = 0.25
	leastSlack = 60_000
	// rhythmOver states halve, or so, the weight of a long gap in the rhythm.
	rhythmOver = 8
	// mostMissed rhythms of silence, and leastHeld, end the suspicion: the list would have told of a drain by
	// then. The pool is one that stopped telling its state but works, and is not judged until it tells again.
	mostMissed = 10
	leastHeld  = 5_000_000
)

// Endpoint is a line of the pool list: a pool that is up, and the group by which classes name it.
type Endpoint struct {
	UID   string
	Group int
}

type pool struct {
	Endpoint
	last   int64 // when its latest state came, 0: never
	rhythm int64 // the longest gap of late
	gaps   int   // known, leastBeats at most
	listed bool
}

// due is when the pool's silence becomes suspect; math.MaxInt64 where its rhythm is not known.
func (p *pool) due() int64 {
	if p.gaps < leastBeats {
		return math.MaxInt64
	}
	return p.last + p.rhythm + max(int64(slackShare*float64(p.rhythm)), leastSlack)
}

// until is when the suspicion ends by itself.
func (p *pool) until() int64 { return p.last + max(mostMissed*p.rhythm, leastHeld) }

// overdue tells whether the pool's next state should have come.
func (p *pool) overdue(now int64) bool { return now >= p.due() && now < p.until() }

// Monitor holds when each pool that is up was last heard, and its rhythm.
type Monitor struct {
	pools   map[string]*pool
	classes [][]int // the groups that each class may use, nil: all
}

// New returns a Monitor. classes are the groups that each class of call may use, nil for all.
func New(classes [][]int) *Monitor {
	return &Monitor{pools: map[string]*pool{}, classes: classes}
}

// UpdateEndpoints takes the pools that are up; what was known of others is forgotten.
func (m *Monitor) UpdateEndpoints(up []Endpoint) {
	for _, p := range m.pools {
		p.listed = false
	}
	for _, l := range up {
		p := m.pools[l.UID]
		if p == nil {
			p = &pool{}
			m.pools[l.UID] = p
		}
		p.Endpoint, p.listed = l, true
	}
	for uid, p := range m.pools {
		if !p.listed {
			delete(m.pools, uid)
		}
	}
}

// RecordReport takes a state that the pool told unasked. A silence that was over the suspicion's end is no gap of
// the rhythm: the pool begins anew.
func (m *Monitor) RecordReport(now int64, uid string) {
	p := m.pools[uid]
	if p == nil {
		return
	}
	switch gap := now - p.last; {
	case p.last == 0 || p.gaps == leastBeats && now >= p.until():
		p.gaps, p.rhythm = 0, 0
	default:
		// A suspicion that was wrong lengthens the rhythm by as much as the state was late, at most twofold: one
		// lost state is no habit.
		if p.gaps == leastBeats {
			gap = min(gap, 2*p.rhythm)
		}
		p.rhythm = max(gap, p.rhythm-(p.rhythm-gap)/rhythmOver)
		p.gaps = min(p.gaps+1, leastBeats)
	}
	p.last = now
}

// Silent are the pools for which IsSilent holds, nil for none.
func (m *Monitor) Silent(now int64) map[string]bool {
	var silent map[string]bool
	for uid := range m.pools {
		if m.IsSilent(now, uid) {
			if silent == nil {
				silent = map[string]bool{}
			}
			silent[uid] = true
		}
	}
	return silent
}

// IsSilent tells whether a pool that is up is not to be offered now: overdue, while another pool of every class
// that may use it is in its rhythm. Where none is, this controller may be what does not hear, and a silent pool is
// better than none.
func (m *Monitor) IsSilent(now int64, uid string) bool {
	p := m.pools[uid]
	return p != nil && p.overdue(now) && m.replaceable(now, p)
}

func (m *Monitor) replaceable(now int64, p *pool) bool {
	for _, groups := range m.classes {
		if uses(groups, p.Group) && !m.inRhythm(now, groups) {
			return false
		}
	}
	return len(m.classes) > 0
}

// inRhythm tells whether a pool of the groups has told its state when it was due.
func (m *Monitor) inRhythm(now int64, groups []int) bool {
	for _, q := range m.pools {
		if q.gaps == leastBeats && now < q.due() && uses(groups, q.Group) {
			return true
		}
	}
	return false
}

func uses(groups []int, g int) bool { return groups == nil || slices.Contains(groups, g) }

// Next is when Silent may change without a state coming, 0: never.
func (m *Monitor) Next(now int64) int64 {
	next := int64(0)
	for _, p := range m.pools {
		at := p.due()
		if at <= now {
			at = p.until()
		}
		if at > now && at < math.MaxInt64 && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}
