package plan

import (
	"math/rand/v2"
	"time"
)

// CrowdSign is what each connection of a crowd sends.
type CrowdSign int

// The signs.
const (
	CrowdSilent       CrowdSign = iota // nothing
	CrowdPart                          // a part of a set-up
	CrowdPing                          // one ping
	CrowdRefusedSetup                  // a set-up of a class that there is not
	CrowdMixed                         // each of these
	crowdSignCount
)

// String returns the sign's name, as timelines have it.
func (s CrowdSign) String() string {
	switch s {
	case CrowdSilent:
		return "nothing"
	case CrowdPart:
		return "a part of a set-up"
	case CrowdPing:
		return "a ping"
	case CrowdRefusedSetup:
		return "a refused set-up"
	default:
		return "each of these"
	}
}

// Of returns the sign that one member of the crowd sends.
func (s CrowdSign) Of(member int) CrowdSign {
	if s == CrowdMixed {
		return CrowdSign(member % int(CrowdMixed))
	}
	return s
}

const (
	// crowdStream sets the random numbers of crowds apart: a seed keeps the faults that it had without them.
	crowdStream = 44
	// awayOneIn is of how many crowds one finds all callers away, who come back after minAway to maxAway.
	awayOneIn        = 2
	minAway, maxAway = 200 * time.Millisecond, 2500 * time.Millisecond
	crowdPause       = time.Second
)

// generateCrowds draws what the connections of each crowd send, and for how long callers are away as it comes.
func (p *Plan) generateCrowds() {
	random := rand.New(rand.NewPCG(p.Seed, crowdStream))
	for n := range p.Faults {
		fault := &p.Faults[n]
		if fault.Kind != CallersCrowd {
			continue
		}
		fault.Sign = CrowdSign(random.IntN(int(crowdSignCount)))
		fault.Pause, fault.Away = crowdPause, 0
		if away := durationBetween(random, minAway, maxAway); random.IntN(awayOneIn) == 0 {
			fault.Away = away
		}
	}
}
