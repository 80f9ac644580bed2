package routing

import (
	"errors"
	"testing"
)

func TestEligible_OwnZoneFirst(t *testing.T) {
	r := newRouter(t)
	if got := eligibleUIDs(r, 0); got != "ba1 ba2" {
		t.Errorf("eligible %q, want batumi's pools alone", got)
	}
}

func TestEligible_FullOwnZoneSpills(t *testing.T) {
	r := newRouter(t)
	r.Report("ba1", 0, 10)
	r.Report("ba2", 0, 10)
	if got := eligibleUIDs(r, 0); got != "ba1 ba2 ku1 ku2 tb1 tb2" {
		t.Errorf("eligible %q with batumi full", got)
	}
	r.Report("ba1", 3, 10)
	if got := eligibleUIDs(r, 0); got != "ba1 ba2" {
		t.Errorf("eligible %q with an agent free in batumi again", got)
	}
}

func TestEligible_AllZonesButOneWithoutEndpoints(t *testing.T) {
	r := newRouter(t)
	r.UpdateEndpoints(second, endpointsUpExcept("batumi", "tbilisi", "kutaisi"))
	if got := eligibleUIDs(r, second); got != "te1 te2" {
		t.Errorf("eligible %q, want the last zone", got)
	}
	r.UpdateEndpoints(2*second, endpointsUpExcept("batumi", "tbilisi", "kutaisi", "telavi"))
	if got := eligibleUIDs(r, 2*second); got != "" {
		t.Errorf("eligible %q with no endpoint up", got)
	}
}

func TestEligible_PriorityLevelsOfAClass(t *testing.T) {
	classConfig := validConfig()
	classConfig.Classes = 3
	classConfig.ClassPriorityLevels = map[int]PriorityTable{1: {"batumi": {{"telavi"}}}, 2: {}}
	r, err := New(classConfig, zones)
	if err != nil {
		t.Fatal(err)
	}
	r.UpdateEndpoints(0, endpointsUpExcept("batumi"))
	reportFree(r)

	eligible := r.Eligible(second)
	// Class 0 has the general levels, class 1 its own, class 2 spills nowhere.
	for uid, want := range map[string]Classes{"tb1": 0b001, "ku2": 0b001, "te1": 0b010, "ba1": 0} {
		if eligible[uid] != want {
			t.Errorf("%s: classes %b, want %b", uid, eligible[uid], want)
		}
	}
	classConfig.ClassPriorityLevels[3] = nil
	if _, err := New(classConfig, zones); !errors.Is(err, ErrConfig) {
		t.Errorf("priority levels of a class that does not exist: %v", err)
	}
}
