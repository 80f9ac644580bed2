package simwire

import (
	"fmt"
	"time"

	"eidertrail"
)

// settings are the wire's settings as far as the controller uses them; other keys are passed over.
type settings struct {
	Balancers int `json:"balancers"`
	Index     int `json:"index"`
	Caps      struct {
		MaxAttempts   int   `json:"max_attempts"`
		RetryAfter    bool  `json:"retry_after"`
		MaxRetryAfter int64 `json:"max_retry_after"`
	} `json:"caps"`
	Discovery string `json:"discovery"`
	Extra     struct {
		Here      *int    `json:"here"`
		Shape     string  `json:"shape"`
		Pools     [][]int `json:"allowed_pools"`
		ClearWait int64   `json:"clear_wait"`
		MeanHold  []int64 `json:"mean_hold"`
		T1        int64   `json:"t1"`
	} `json:"extra"`
	Classes []struct {
		Name      string  `json:"name"`
		Promise   int64   `json:"promise"`
		Deadline  int64   `json:"deadline"`
		Worth     float64 `json:"worth"`
		LateWorth float64 `json:"late_worth"`
		Effect    string  `json:"effect"`
	} `json:"request_classes"`
	Rules struct {
		AskWithin    int64   `json:"ask_within"`
		Cold         int64   `json:"cold"`
		ColdShare    float64 `json:"cold_share"`
		FallMultiple float64 `json:"fall_multiple"`
		TipAfter     int64   `json:"tip_after"`
	} `json:"rules"`
	Stats struct {
		Names []string `json:"names"`
		Via   string   `json:"via"`
	} `json:"stats"`
	Tick int64 `json:"tick"`
}

var effects = map[string]eidertrail.Idempotency{
	"": eidertrail.Idempotent, "safe": eidertrail.Idempotent, "keyed": eidertrail.IdempotentByKey, "unsafe": eidertrail.NotIdempotent,
}

func hello(v *row) (*eidertrail.Controller, []string, time.Duration, error) {
	seed := v.unsigned(0, "random_seed")
	var w settings
	if !v.decode(1, "settings", &w) && v.err == nil {
		v.err = fmt.Errorf("Hello: settings: absent")
	}
	if v.err != nil {
		return nil, nil, 0, v.err
	}
	s := eidertrail.Settings{
		Nodes: w.Balancers, Index: w.Index, OwnExchange: -1,
		ReleaseWait: time.Duration(w.Extra.ClearWait), RetransmitInterval: time.Duration(w.Extra.T1),
		MaxAttempts:   w.Caps.MaxAttempts,
		PollEndpoints: w.Discovery == "on_request", PollInterval: time.Duration(w.Rules.AskWithin),
		SlowStartWindow:   time.Duration(w.Rules.Cold),
		SlowStartCapacity: w.Rules.ColdShare, OverloadMultiple: w.Rules.FallMultiple,
		OverloadWindow: time.Duration(w.Rules.TipAfter), Tick: time.Duration(w.Tick),
	}
	if w.Extra.Here != nil {
		s.OwnExchange = *w.Extra.Here
	}
	for i, c := range w.Classes {
		effect, known := effects[c.Effect]
		if !known {
			return nil, nil, 0, fmt.Errorf("Hello: request_classes[%d].effect: %q is not known", i, c.Effect)
		}
		class := eidertrail.Class{
			Name: c.Name, LatencyObjective: time.Duration(c.Promise), Deadline: time.Duration(c.Deadline),
			PriorityWeight: c.Worth, LateFactor: c.LateWorth, Idempotency: effect,
		}
		if w.Extra.Shape == "skills" && i < len(w.Extra.Pools) {
			class.Pools = w.Extra.Pools[i]
		}
		if i < len(w.Extra.MeanHold) {
			class.MeanHoldingTime = time.Duration(w.Extra.MeanHold[i])
		}
		s.Classes = append(s.Classes, class)
	}
	c, err := eidertrail.New(s, seed)
	if err != nil {
		return nil, nil, 0, fmt.Errorf("Hello: %w", err)
	}
	holdOff := time.Duration(0)
	if w.Caps.RetryAfter {
		holdOff = time.Duration(w.Caps.MaxRetryAfter)
	}
	return c, w.Stats.Names, holdOff, nil
}
