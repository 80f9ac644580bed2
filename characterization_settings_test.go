package eidertrail_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"eidertrail"
)

// deployment is what a case of the characterisation test is run with.
type deployment struct {
	name         string
	settings     eidertrail.Settings
	pools        int
	agents       int           // of a server, 0: not told, and as many as are wanted
	callGap      time.Duration // mean time between two calls
	callLength   time.Duration // mean length of a call
	keys         int           // numbers that are dialled
	stallOneIn   int           // so many batches hold one standstill of the process, 0: none
	transitOneIn int           // so many calls hold one from another exchange, 0: none
}

// deployments are sites as their settings tell them, and corners of the settings.
func deployments() []deployment {
	short := siteShortOfAgents()
	fleet := siteShortOfProcessors()
	fleet.Nodes, fleet.Index = 265, 264
	for i := range fleet.Classes {
		fleet.Classes[i].Hold = 10 * second
	}
	return []deployment{
		{"short-of-agents", short, 4, 30, 40 * millisecond, 2 * second, 500, 800, 0},
		{"short-of-processors", siteShortOfProcessors(), 3, 0, 50 * millisecond, 4 * second, 5000, 800, 0},
		{"ernte-rat", siteErnteRat(), 7, 12, 40 * millisecond, 3 * second, 500, 800, 0},
		{"legevakt-nord", siteLegevaktNord(), 4, 60, 50 * millisecond, 4 * second, 2000, 800, 0},
		{"mesh", mesh(), 8, 40, 30 * millisecond, 3 * second, 3000, 800, 4},
		{"alone", alone(), 2, 0, 60 * millisecond, second, 300, 2000, 0},
		{"large-fleet", fleet, 12, 500, 30 * millisecond, 3 * second, 1000, 800, 0},
		{"no-agents-told", agentsUntold(), 5, 0, 30 * millisecond, 3 * second, 1 << 30, 400, 0},
		{"effects", effects(), 4, 25, 40 * millisecond, 2 * second, 300, 400, 10},
	}
}

// siteShortOfAgents is a site whose pools run short of agents; they are told, and nothing is sent again.
func siteShortOfAgents() eidertrail.Settings {
	return eidertrail.Settings{Nodes: 6, Index: 2, Here: -1, Release: 300 * millisecond, MaxAttempts: 4,
		Cold: 14 * second, ColdShare: 0.3, FallMultiple: 3, FallAfter: 1500 * millisecond, Tick: 5 * millisecond,
		Classes: []eidertrail.Class{
			{Name: "avail-read", Aim: 5 * second, Deadline: 15 * second, Worth: 1, LateWorth: 0.25, Hold: 8 * second, Pools: []int{0, 1, 2}},
			{Name: "stop-sell", Aim: 1500 * millisecond, Deadline: 6 * second, Worth: 5, LateWorth: 0.25, Hold: 8 * second, Pools: []int{1, 2, 3}},
		}}
}

// siteShortOfProcessors is a site whose pools run short of their processor; a waiting set-up is sent again.
func siteShortOfProcessors() eidertrail.Settings {
	return eidertrail.Settings{Nodes: 5, Index: 1, Here: -1, Release: 500 * millisecond, Resend: 400 * millisecond, MaxAttempts: 4,
		Cold: 15 * second, ColdShare: 0.29, FallMultiple: 3, FallAfter: 3 * second, Tick: 5 * millisecond,
		Classes: []eidertrail.Class{
			{Name: "lookup", Aim: 1200 * millisecond, Deadline: 9 * second, Worth: 1, LateWorth: 0.1, Hold: 9 * second},
			{Name: "store", Aim: 1200 * millisecond, Deadline: 9 * second, Worth: 2, LateWorth: 0.1, Hold: 11 * second},
		}}
}

// siteErnteRat has the figures of deploy/sites/ernte-rat.toml, ranges at their middles, the cold start at its worst.
func siteErnteRat() eidertrail.Settings {
	return eidertrail.Settings{Nodes: 5, Index: 0, Here: -1, Release: 240 * millisecond, MaxAttempts: 5,
		Cold: 16 * second, ColdShare: 0.25, FallMultiple: 3.5, FallAfter: 1900 * millisecond, Tick: 8 * millisecond,
		Classes: []eidertrail.Class{
			{Name: "Ernte", Aim: 4200 * millisecond, Deadline: 13 * second, Worth: 1, LateWorth: 0.2, Hold: 8400 * millisecond, Pools: []int{0, 1, 2, 3}},
			{Name: "Ernte Süd", Aim: 3600 * millisecond, Deadline: 11 * second, Worth: 2, LateWorth: 0.2, Hold: 5880 * millisecond, Pools: []int{1, 2, 3, 4}},
			{Name: "ERNTE", Aim: 2800 * millisecond, Deadline: 8 * second, Worth: 3, LateWorth: 0.1, Hold: 7560 * millisecond, Pools: []int{2, 3, 4, 5}},
			{Name: "Ernte.2.süd", Aim: 4600 * millisecond, Deadline: 12 * second, Worth: 1.5, LateWorth: 0.3, Hold: 10080 * millisecond, Pools: []int{3, 4, 5, 6}},
			{Name: "\"Größe\": 5;x=1", Aim: 1900 * millisecond, Deadline: 5500 * millisecond, Worth: 6, LateWorth: 0.25, Hold: 5040 * millisecond, Pools: []int{0, 4, 5}},
		}}
}

// siteLegevaktNord has the figures of deploy/sites/legevakt-nord.toml, ranges at their middles, the cold start at its
// worst.
func siteLegevaktNord() eidertrail.Settings {
	return eidertrail.Settings{Nodes: 6, Index: 5, Here: -1, Release: 420 * millisecond, Resend: 550 * millisecond, MaxAttempts: 3,
		Cold: 11 * second, ColdShare: 0.36, FallMultiple: 2.5, FallAfter: 2200 * millisecond, Tick: 4 * millisecond,
		Classes: []eidertrail.Class{
			{Name: "Øyeblikk", Aim: 1600 * millisecond, Deadline: 7500 * millisecond, Worth: 1, LateWorth: 0.3, Hold: 7600 * millisecond},
			{Name: "Øyeblikkelig hjelp", Aim: 1400 * millisecond, Deadline: 4200 * millisecond, Worth: 4, LateWorth: 0.15, Hold: 11400 * millisecond},
		}}
}

// mesh is an exchange among others: servers are exchanges, calls come from others too, the list has to be asked for.
func mesh() eidertrail.Settings {
	return eidertrail.Settings{Nodes: 8, Index: 3, Here: 3, Release: 400 * millisecond, Resend: 500 * millisecond, MaxAttempts: 2,
		MustAsk: true, AskWithin: 4 * second,
		Cold: 8 * second, ColdShare: 0.4, FallMultiple: 2, FallAfter: second, Tick: 2 * millisecond,
		Classes: []eidertrail.Class{
			{Name: "trunk", Aim: 2 * second, Deadline: 8 * second, Worth: 1, LateWorth: 0.5, Hold: 6 * second},
			{Name: "urgent", Aim: second, Deadline: 5 * second, Worth: 3, LateWorth: 0.2, Effect: eidertrail.Unsafe, Hold: 4 * second},
		}}
}

// alone is one node with the fewest settings that are taken.
func alone() eidertrail.Settings {
	return eidertrail.Settings{Nodes: 1, Here: -1, Classes: []eidertrail.Class{
		{Name: "only", Deadline: 5 * second},
		{Name: "aimed", Aim: 2 * second, Deadline: 5 * second, Worth: 1},
	}}
}

// agentsUntold is a site where no server reports, no length of calls is known, and very many numbers are dialled.
func agentsUntold() eidertrail.Settings {
	return eidertrail.Settings{Nodes: 3, Index: 2, Here: -1, Release: 200 * millisecond, Resend: 300 * millisecond,
		Cold: 6 * second, ColdShare: 0.5, FallMultiple: 4, FallAfter: 800 * millisecond, Tick: millisecond,
		Classes: []eidertrail.Class{
			{Name: "long", Aim: 6 * second, Deadline: 120 * second, Worth: 1, LateWorth: 1},
			{Name: "short", Aim: 900 * millisecond, Deadline: 3 * second, Worth: 2},
		}}
}

// effects has classes of all effects, one attempt less than the module would make, and a class without a pool.
func effects() eidertrail.Settings {
	return eidertrail.Settings{Nodes: 2, Index: 1, Here: -1, Release: 300 * millisecond, Resend: 200 * millisecond, MaxAttempts: 1,
		Cold: 10 * second, ColdShare: 0.2, FallAfter: second, Tick: 5 * millisecond,
		Classes: []eidertrail.Class{
			{Name: "safe", Aim: 2 * second, Deadline: 8 * second, Worth: 1, LateWorth: 0.3, Hold: 5 * second},
			{Name: "keyed", Aim: 3 * second, Deadline: 9 * second, Worth: 2, LateWorth: 0.3, Effect: eidertrail.Keyed, Hold: 5 * second},
			{Name: "unsafe", Aim: 1500 * millisecond, Deadline: 6 * second, Worth: 4, LateWorth: 0, Effect: eidertrail.Unsafe, Hold: 2 * second},
			{Name: "nowhere", Aim: second, Deadline: 4 * second, Worth: 1, Pools: []int{}, Hold: second},
		}}
}

// invalid is one change of valid settings.
type invalid struct {
	name  string
	spoil func(s *eidertrail.Settings)
}

// invalidSettings are changes that New is to reject, and last some at the edge that it takes.
func invalidSettings() []invalid {
	list := []invalid{
		{"classes nil", func(s *eidertrail.Settings) { s.Classes = nil }},
		{"classes empty", func(s *eidertrail.Settings) { s.Classes = []eidertrail.Class{} }},
		{"nodes 0", func(s *eidertrail.Settings) { s.Nodes = 0 }},
		{"nodes -3", func(s *eidertrail.Settings) { s.Nodes = -3 }},
		{"index -1", func(s *eidertrail.Settings) { s.Index = -1 }},
		{"index as many as nodes", func(s *eidertrail.Settings) { s.Index = s.Nodes }},
		{"index 1000", func(s *eidertrail.Settings) { s.Index = 1000 }},
		{"release -1 ns", func(s *eidertrail.Settings) { s.Release = -1 }},
		{"release -2 s", func(s *eidertrail.Settings) { s.Release = -2 * second }},
		{"resend", func(s *eidertrail.Settings) { s.Resend = -1 }},
		{"tick", func(s *eidertrail.Settings) { s.Tick = -1 }},
		{"max attempts", func(s *eidertrail.Settings) { s.MaxAttempts = -1 }},
		{"ask within", func(s *eidertrail.Settings) { s.AskWithin = -1 }},
		{"cold", func(s *eidertrail.Settings) { s.Cold = -1 }},
		{"fall after", func(s *eidertrail.Settings) { s.FallAfter = -1 }},
	}
	for _, v := range []float64{-0.25, math.NaN(), math.Inf(1), math.Inf(-1)} {
		list = append(list,
			invalid{fmt.Sprintf("cold share %g", v), func(s *eidertrail.Settings) { s.ColdShare = v }},
			invalid{fmt.Sprintf("fall multiple %g", v), func(s *eidertrail.Settings) { s.FallMultiple = v }})
	}
	list = append(list,
		invalid{"deadline 0", func(s *eidertrail.Settings) { s.Classes[1].Deadline = 0 }},
		invalid{"deadline", func(s *eidertrail.Settings) { s.Classes[0].Deadline = -1 }},
		invalid{"aim", func(s *eidertrail.Settings) { s.Classes[1].Aim = -1 }},
		invalid{"hold", func(s *eidertrail.Settings) { s.Classes[1].Hold = -1 }},
		invalid{"worth", func(s *eidertrail.Settings) { s.Classes[0].Worth = -1 }},
		invalid{"worth no number", func(s *eidertrail.Settings) { s.Classes[1].Worth = math.NaN() }},
		invalid{"late worth", func(s *eidertrail.Settings) { s.Classes[1].LateWorth = -0.1 }},
		invalid{"late worth no number", func(s *eidertrail.Settings) { s.Classes[0].LateWorth = math.NaN() }},
		invalid{"pool", func(s *eidertrail.Settings) { s.Classes[1].Pools = []int{0, -2} }},
		invalid{"first of several: classes before nodes", func(s *eidertrail.Settings) { s.Classes, s.Nodes = nil, 0 }},
		invalid{"first of several: nodes before index", func(s *eidertrail.Settings) { s.Nodes, s.Index = 0, -1 }},
		invalid{"first of several: index before release", func(s *eidertrail.Settings) { s.Index, s.Release = -1, -1 }},
		invalid{"first of several: release before resend", func(s *eidertrail.Settings) { s.Release, s.Resend = -1, -1 }},
		invalid{"first of several: resend before tick", func(s *eidertrail.Settings) { s.Resend, s.Tick = -1, -1 }},
		invalid{"first of several: tick before max attempts", func(s *eidertrail.Settings) { s.Tick, s.MaxAttempts = -1, -1 }},
		invalid{"first of several: max attempts before ask within", func(s *eidertrail.Settings) { s.MaxAttempts, s.AskWithin = -1, -1 }},
		invalid{"first of several: ask within before cold", func(s *eidertrail.Settings) { s.AskWithin, s.Cold = -1, -1 }},
		invalid{"first of several: cold before cold share", func(s *eidertrail.Settings) { s.Cold, s.ColdShare = -1, -1 }},
		invalid{"first of several: cold share before fall multiple", func(s *eidertrail.Settings) { s.ColdShare, s.FallMultiple = -1, -1 }},
		invalid{"first of several: fall multiple before fall after", func(s *eidertrail.Settings) { s.FallMultiple, s.FallAfter = -1, -1 }},
		invalid{"first of several: fall after before a class", func(s *eidertrail.Settings) { s.FallAfter, s.Classes[0].Aim = -1, -1 }},
		invalid{"first of several: classes in order", func(s *eidertrail.Settings) {
			s.Classes[0].Pools, s.Classes[1].Deadline = []int{-1}, 0
		}},
		invalid{"first of several: times before pools", func(s *eidertrail.Settings) {
			s.Classes[0].Pools, s.Classes[0].Deadline = []int{-1}, 0
		}},
		invalid{"edge: as it is", func(*eidertrail.Settings) {}},
		invalid{"edge: nothing but one node and a deadline", func(s *eidertrail.Settings) { *s = alone() }},
		invalid{"edge: endless worth", func(s *eidertrail.Settings) { s.Classes[0].Worth = math.Inf(1) }},
		invalid{"edge: aim past the deadline", func(s *eidertrail.Settings) { s.Classes[0].Aim = 10 * s.Classes[0].Deadline }},
		invalid{"edge: no pools", func(s *eidertrail.Settings) { s.Classes[0].Pools = []int{} }},
		invalid{"edge: no names", func(s *eidertrail.Settings) { s.Classes[0].Name, s.Classes[1].Name = "", "" }},
		invalid{"edge: an unknown effect", func(s *eidertrail.Settings) { s.Classes[0].Effect = 7 }},
		invalid{"edge: here far out", func(s *eidertrail.Settings) { s.Here = -9 }},
	)
	return list
}

// TestCharacterization_SettingsErrors compares the text of each error of New.
func TestCharacterization_SettingsErrors(t *testing.T) {
	var recorded strings.Builder
	for _, c := range invalidSettings() {
		s := siteShortOfProcessors()
		c.spoil(&s)
		controller, err := eidertrail.New(s, 1)
		text := "accepted"
		if err != nil {
			text = err.Error()
		}
		if (controller == nil) != (err != nil) {
			t.Errorf("%s: a controller %v, an error %v", c.name, controller != nil, err)
		}
		fmt.Fprintf(&recorded, "%s: %s\n", c.name, text)
	}
	compareRecorded(t, "settings-errors.txt", recorded.String())
}

// TestCharacterization_BusyNumbers makes so many numbers busy that the controller forgets them, which no case of
// TestCharacterization_Actions does, and compares from which one on it has forgotten the ones before.
func TestCharacterization_BusyNumbers(t *testing.T) {
	controller, err := eidertrail.New(agentsUntold(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now, lastCall := clockStart, eidertrail.CallID(0)
	controller.Handle(now, []eidertrail.Event{eidertrail.ServerList{Kind: eidertrail.Whole, Servers: []eidertrail.Server{{ID: "s"}}}}, nil)
	// dial tells whether a call to the number was sent, and has it find all lines busy.
	dial := func(key uint64) (sent bool) {
		lastCall++
		now += 10 * millisecond
		k := eidertrail.Call{ID: lastCall, Key: key, Left: 4 * second}
		for _, a := range controller.Handle(now, []eidertrail.Event{k}, nil) {
			_, is := a.(eidertrail.Send)
			sent = sent || is
		}
		now += millisecond
		controller.Handle(now, []eidertrail.Event{eidertrail.Outcome{Call: lastCall, Status: eidertrail.Error,
			Cause: eidertrail.LinesBusy, Took: millisecond}}, nil)
		return sent
	}
	var recorded strings.Builder
	for key := range uint64(10_000) {
		sent, again := dial(key+1), dial(max(key, 1))
		if !sent || again {
			fmt.Fprintf(&recorded, "number %d: sent %t, the one before again: sent %t\n", key+1, sent, again)
		}
	}
	compareRecorded(t, "busy-numbers.txt", recorded.String())
}

// TestCharacterization_FaultsInRow has a server fail each set-up at once after one that it completed, and compares when
// each of them was sent: after many faults the server is shut, the longer the more there are, up to a bound.
func TestCharacterization_FaultsInRow(t *testing.T) {
	controller, err := eidertrail.New(agentsUntold(), 1)
	if err != nil {
		t.Fatal(err)
	}
	now, calls := clockStart, eidertrail.CallID(0)
	controller.Handle(now, []eidertrail.Event{eidertrail.ServerList{Kind: eidertrail.Whole, Servers: []eidertrail.Server{{ID: "s"}}}}, nil)
	var recorded strings.Builder
	for sends, last := 0, now; sends < 100; now += 10 * millisecond {
		calls++
		var send *eidertrail.Send
		for _, a := range controller.Handle(now, []eidertrail.Event{eidertrail.Call{ID: calls, Left: 5 * second}}, nil) {
			if s, is := a.(eidertrail.Send); is && send == nil {
				send = &s
			}
		}
		if send == nil { // it is held: the caller leaves, the next one calls
			controller.Handle(now, []eidertrail.Event{eidertrail.HangUp{Call: calls}}, nil)
			continue
		}
		sends++
		fmt.Fprintf(&recorded, "send %d: %d ms after the one before\n", sends, (now - last).Milliseconds())
		last = now
		now += 10 * millisecond
		outcome := eidertrail.Outcome{Call: send.Call, Status: eidertrail.Error, Took: 10 * millisecond, Closed: true}
		if sends == 1 {
			outcome.Status = eidertrail.Ended
		}
		controller.Handle(now, []eidertrail.Event{outcome}, nil)
	}
	compareRecorded(t, "faults-in-row.txt", recorded.String())
}
