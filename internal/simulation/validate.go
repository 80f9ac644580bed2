package simulation

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"eidertrail"
	"eidertrail/internal/routing"
)

// The limits of a scenario.
const (
	maxLength      = time.Hour
	maxControllers = 64
	maxCallRate    = 1e5 // a second
	maxRetries     = 10
	maxPools       = 1024
)

// check returns the error of the first invalid field.
func (s *Scenario) check() error {
	checks := []func() error{
		s.checkSize, s.checkCallers, s.checkNetwork, s.checkClasses, s.checkPools, s.checkEvents, s.checkSRV,
		s.checkRouting,
	}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	if _, err := eidertrail.New(s.settings(0), 1); err != nil {
		return s.fieldError("settings", 0, err.Error())
	}
	return nil
}

func (s *Scenario) checkSize() error {
	switch {
	case s.Length <= 0 || s.Length > maxLength:
		return s.fieldError("length", 0, "want more than 0, at most 1h")
	case s.Controllers < 1 || s.Controllers > maxControllers:
		return s.fieldError("controllers", 0, "want 1 to 64")
	case len(s.Class) == 0 || len(s.Class) > routing.MaxClasses:
		return s.fieldError("class", 0, fmt.Sprintf("want 1 to %d classes", routing.MaxClasses))
	case len(s.Pool) == 0:
		return s.fieldError("pool", 0, "want one at the least")
	}
	return nil
}

// checkCallers checks the callers. NaN is in no range.
func (s *Scenario) checkCallers() error {
	callers := s.Callers
	switch {
	case !(callers.Rate >= 0 && callers.Rate <= maxCallRate):
		return s.fieldError("callers.rate", 0, "want 0 to 100000")
	case !(callers.AttemptFraction > 0 && callers.AttemptFraction <= 1):
		return s.fieldError("callers.try", 0, "want more than 0, at most 1")
	case callers.Retries < 0 || callers.Retries > maxRetries:
		return s.fieldError("callers.retries", 0, "want 0 to 10")
	case !isFraction(s.Network.PeerLoss):
		return s.fieldError("net.peer_loss", 0, "want 0 to 1")
	}
	weights := callers.ControllerWeights
	if len(weights) == 0 {
		return nil
	}
	if len(weights) != s.Controllers || slices.Min(weights) < 0 || slices.Max(weights) <= 0 {
		return s.fieldError("callers.shares", 0, "want one for each controller, 0 or more, and not all 0")
	}
	return nil
}

func (s *Scenario) checkNetwork() error {
	if s.Network.ListSkew < milliseconds(1) {
		return s.fieldError("net.list_apart", 0, "want 1 ms or more")
	}
	if s.Settings.Retransmits && s.Settings.RetransmitInterval <= 0 {
		return s.fieldError("settings.repeats", 0, "want a resend")
	}
	for _, delay := range []struct {
		key    string
		bounds [2]Duration
	}{
		{"near", s.Network.Near},
		{"far", s.Network.Far},
		{"list", s.Network.ListDelay},
		{"peers", s.Network.PeerDelay},
	} {
		if delay.bounds[0] < 0 || delay.bounds[1] < delay.bounds[0] {
			return s.fieldError("net."+delay.key, 0, "want the least and the most, 0 or more")
		}
	}
	return nil
}

func (s *Scenario) checkClasses() error {
	total := 0.0
	for i, c := range s.Class {
		total += c.Fraction
		if c.Name == "" || c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective || c.MeanHoldingTime <= 0 ||
			!(c.Fraction >= 0) {
			return s.fieldError("class.name", i,
				"want a name, an aim, a deadline no shorter, a hold, a share of 0 or more")
		}
	}
	if total <= 0 {
		return s.fieldError("class.share", 0, "the shares are 0")
	}
	return nil
}

func (s *Scenario) checkPools() error {
	for i, p := range s.Pool {
		if p.Name == "" || p.Agents < 1 || p.ServiceTime <= 0 || p.ReportInterval < 0 ||
			!isFraction(p.ErrorRate) || !isFraction(p.ReportNoise) {
			return s.fieldError("pool.name", i, "want a name, agents, work, errors and noise from 0 to 1")
		}
	}
	names, _ := s.poolNames()
	slices.Sort(names)
	if len(slices.Compact(names)) != len(names) || len(names) > maxPools {
		return s.fieldError("pool.name", 0, "a name comes twice, or there are more than 1024 pools")
	}
	return nil
}

func (s *Scenario) checkEvents() error {
	names, zones := s.poolNames()
	for i, event := range s.Event {
		if err := s.checkEventKind(i, event); err != nil {
			return err
		}
		switch {
		case event.At < 0 || event.Duration < 0:
			return s.fieldError("event.at", i, "want 0 or more, for too")
		case event.Pool != "" && !slices.Contains(names, event.Pool):
			return s.fieldError("event.pool", i, fmt.Sprintf("there is no pool %q", event.Pool))
		case event.Zone != "" && !slices.Contains(zones, event.Zone):
			return s.fieldError("event.zone", i, fmt.Sprintf("no pool is in zone %q", event.Zone))
		case event.Kind.hasFactor() && !(event.Factor > 0):
			return s.fieldError("event.times", i, "want more than 0")
		case event.Kind.hasFraction() && !isFraction(event.Fraction):
			return s.fieldError("event.share", i, "want 0 to 1")
		}
	}
	return nil
}

// checkEventKind checks that a kind exists, and that the scenario has what it needs.
func (s *Scenario) checkEventKind(index int, e Event) error {
	kinds := eventKinds()
	switch {
	case !slices.Contains(kinds, string(e.Kind)):
		return s.fieldError("event.kind", index, fmt.Sprintf("%q is none of %s", e.Kind, strings.Join(kinds, ", ")))
	case s.SRV == nil && e.Kind.needsSRV():
		return s.fieldError("event.kind", index, string(e.Kind)+" is for scenarios with an srv section")
	case s.SRV != nil && e.Kind.needsList():
		return s.fieldError("event.kind", index,
			string(e.Kind)+" needs a list of pools, which a scenario with an srv section has not")
	}
	return nil
}

func (s *Scenario) checkSRV() error {
	if s.SRV == nil {
		return nil
	}
	srv := s.SRV
	if srv.TTL < 0 || srv.Floor <= 0 || srv.Ceiling < srv.Floor || srv.StaleWindow < 0 || srv.DrainTimeout <= 0 {
		return s.fieldError("srv.ttl", 0, "want a ttl, a floor, a ceiling no less than it, a drain_for")
	}
	return nil
}

func (s *Scenario) checkRouting() error {
	if s.routing == "" {
		return nil
	}
	if _, err := s.router(0); err != nil {
		return s.fieldError("routing", 0, strings.TrimPrefix(err.Error(), "routing: "))
	}
	return nil
}

// isFraction reports whether a value is from 0 to 1. NaN is not.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }
