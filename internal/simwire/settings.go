package simwire

import (
	"fmt"
	"time"

	"eidertrail"
)

const (
	// discoveryOnRequest is the value of the discovery key with which controllers poll for server lists.
	discoveryOnRequest = "on_request"
	// shapeSkills is the shape of a site whose classes may use some pools alone.
	shapeSkills = "skills"
	// noExchange is the exchange of a controller that stands at none.
	noExchange = -1
)

// settings are those of the wire that the controller uses; other keys are ignored. Times are in ns.
type settings struct {
	Controllers int             `json:"balancers"`
	Index       int             `json:"index"`
	Caps        capsSettings    `json:"caps"`
	Discovery   string          `json:"discovery"`
	Extra       extraSettings   `json:"extra"`
	Classes     []classSettings `json:"request_classes"`
	Rules       ruleSettings    `json:"rules"`
	Stats       statsSettings   `json:"stats"`
	Tick        int64           `json:"tick"`
}

type capsSettings struct {
	MaxAttempts     int   `json:"max_attempts"`
	AllowRetryAfter bool  `json:"retry_after"`
	MaxRetryAfter   int64 `json:"max_retry_after"`
}

type extraSettings struct {
	Exchange           *int    `json:"here"`
	Shape              string  `json:"shape"`
	AllowedPools       [][]int `json:"allowed_pools"`
	ReleaseWait        int64   `json:"clear_wait"`
	MeanHoldingTimes   []int64 `json:"mean_hold"`
	RetransmitInterval int64   `json:"t1"`
}

type classSettings struct {
	Name             string  `json:"name"`
	LatencyObjective int64   `json:"promise"`
	Deadline         int64   `json:"deadline"`
	PriorityWeight   float64 `json:"worth"`
	LateFactor       float64 `json:"late_worth"`
	Effect           string  `json:"effect"`
}

type ruleSettings struct {
	PollInterval      int64   `json:"ask_within"`
	SlowStartWindow   int64   `json:"cold"`
	SlowStartCapacity float64 `json:"cold_share"`
	OverloadMultiple  float64 `json:"fall_multiple"`
	OverloadWindow    int64   `json:"tip_after"`
}

type statsSettings struct {
	Names []string `json:"names"`
	Via   string   `json:"via"`
}

// decodeHello returns an instance with the controller of a Hello.
func decodeHello(hello *row) (*instance, error) {
	seed := hello.unsigned(0, "random_seed")
	var wire settings
	if !hello.decode(1, "settings", &wire) && hello.err == nil {
		hello.err = fmt.Errorf("%s: settings: absent", hello.name)
	}
	if hello.err != nil {
		return nil, hello.err
	}
	translated, err := wire.translate()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", hello.name, err)
	}
	controller, err := eidertrail.New(translated, seed)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", hello.name, err)
	}
	started := &instance{controller: controller, reportNames: wire.Stats.Names}
	if wire.Caps.AllowRetryAfter {
		started.maxRetryAfter = time.Duration(wire.Caps.MaxRetryAfter)
	}
	return started, nil
}

// translate returns the settings of a controller.
func (s *settings) translate() (eidertrail.Settings, error) {
	translated := eidertrail.Settings{
		Nodes:              s.Controllers,
		Index:              s.Index,
		OwnExchange:        noExchange,
		ReleaseWait:        time.Duration(s.Extra.ReleaseWait),
		RetransmitInterval: time.Duration(s.Extra.RetransmitInterval),
		MaxAttempts:        s.Caps.MaxAttempts,
		PollEndpoints:      s.Discovery == discoveryOnRequest,
		PollInterval:       time.Duration(s.Rules.PollInterval),
		SlowStartWindow:    time.Duration(s.Rules.SlowStartWindow),
		SlowStartCapacity:  s.Rules.SlowStartCapacity,
		OverloadMultiple:   s.Rules.OverloadMultiple,
		OverloadWindow:     time.Duration(s.Rules.OverloadWindow),
		Tick:               time.Duration(s.Tick),
	}
	if s.Extra.Exchange != nil {
		translated.OwnExchange = *s.Extra.Exchange
	}
	for i := range s.Classes {
		class, err := s.class(i)
		if err != nil {
			return translated, err
		}
		translated.Classes = append(translated.Classes, class)
	}
	return translated, nil
}

// class returns the class of an index. The mean holding times and the allowed pools stand apart from the classes.
func (s *settings) class(index int) (eidertrail.Class, error) {
	wire := s.Classes[index]
	idempotency, known := idempotencyOf(wire.Effect)
	if !known {
		return eidertrail.Class{}, fmt.Errorf("request_classes[%d].effect: %q is not known", index, wire.Effect)
	}
	class := eidertrail.Class{
		Name:             wire.Name,
		LatencyObjective: time.Duration(wire.LatencyObjective),
		Deadline:         time.Duration(wire.Deadline),
		PriorityWeight:   wire.PriorityWeight,
		LateFactor:       wire.LateFactor,
		Idempotency:      idempotency,
	}
	if s.Extra.Shape == shapeSkills && index < len(s.Extra.AllowedPools) {
		class.Pools = s.Extra.AllowedPools[index]
	}
	if index < len(s.Extra.MeanHoldingTimes) {
		class.MeanHoldingTime = time.Duration(s.Extra.MeanHoldingTimes[index])
	}
	return class, nil
}

// idempotencyOf returns the idempotency that the wire calls by the name of an effect.
func idempotencyOf(effect string) (idempotency eidertrail.Idempotency, known bool) {
	switch effect {
	case "", "safe":
		return eidertrail.Idempotent, true
	case "keyed":
		return eidertrail.IdempotentByKey, true
	case "unsafe":
		return eidertrail.NotIdempotent, true
	}
	return idempotency, false
}
