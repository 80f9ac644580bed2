package endpointlist

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
)

// stateNames are the states as the events of these tests are written.
var stateNames = map[State]string{Up: "up", Draining: "draining", Removed: "removed"}

// parseEvent reads "5: s-1@a up 100, s-2@b draining": the version, then the endpoints, each with its state and, where
// it has one, its start time. "5 all:" is a snapshot.
func parseEvent(tb testing.TB, text string) Event {
	tb.Helper()
	head, rest, _ := strings.Cut(text, ":")
	var event Event
	if _, err := fmt.Sscan(head, &event.Version); err != nil {
		tb.Fatal(err)
	}
	event.Snapshot = strings.HasSuffix(head, "all")
	for line := range strings.SplitSeq(rest, ",") {
		fields := append(strings.Fields(line), "0")
		if len(fields) < 3 {
			continue
		}
		uid, address, _ := strings.Cut(fields[0], "@")
		startedAt, err := strconv.ParseInt(fields[2], 10, 64)
		if err != nil {
			tb.Fatal(err)
		}
		state, known := parseState(fields[1])
		if !known {
			tb.Fatalf("unknown state %q", fields[1])
		}
		event.Endpoints = append(event.Endpoints, Endpoint{
			UID:       uid,
			Address:   address,
			State:     state,
			StartedAt: startedAt,
		})
	}
	return event
}

// endpointsText is an event's endpoints as parseEvent reads them.
func endpointsText(event Event) string {
	lines := make([]string, 0, len(event.Endpoints))
	for _, e := range event.Endpoints {
		lines = append(lines, fmt.Sprintf("%s@%s %s %d", e.UID, e.Address, stateNames[e.State], e.StartedAt))
	}
	return strings.Join(lines, ", ")
}

// An older line doesn't revert a drain, and newer ones aren't held back.
func TestVersionGuard_HoldsBackOlderLines(t *testing.T) {
	for _, test := range []struct {
		name   string
		events []string
		want   string // of the last event
	}{
		{"in order", []string{"1: s@a up", "2: s@a draining"}, "s@a draining 0"},
		{"a drain reverted by a later event", []string{"1: s@a up", "2: s@a draining", "3: s@a up"}, "s@a up 0"},
		{"an older up after a drain", []string{"1: s@a up", "5: s@a draining", "1: s@a up"}, "s@a draining 0"},
		{"an older up after a removal", []string{"1: s@a up", "5: s@a removed", "1: s@a up"}, "s@a removed 0"},
		{
			"an older snapshot after a drain",
			[]string{"1: s@a up", "5: s@a draining", "1 all: s@a up, z@b up"},
			"s@a draining 0, z@b up 0",
		},
		{"an older up after a snapshot without it", []string{"1: s@a up", "5 all: z@b up", "1: s@a up"}, "s@a removed 0"},
		{"restarted versions, and a later start", []string{"5: s@a draining 100", "1: s@a up 101"}, "s@a up 101"},
		{"restarted versions, and the same start", []string{"5: s@a draining 100", "1: s@a up 100"}, "s@a draining 100"},
		{"a removal without a start", []string{"4: s@a up 100", "5: s@ removed", "4: s@a up 100"}, "s@a removed 0"},
		{"restarted versions that pass the drain", []string{"2: s@a draining", "1: s@a up", "3: s@a up"}, "s@a up 0"},
		{
			"delivered twice in a row: down, up",
			[]string{"3: s@a removed", "4: s@a up", "3: s@a removed", "4: s@a up"},
			"s@a up 0",
		},
		{
			"delivered twice in a row: up, down, up, down",
			[]string{"2: s@a draining", "3: s@a up", "4: s@a draining", "2: s@a draining", "3: s@a up"},
			"s@a draining 0",
		},
		{"an older drain after an up", []string{"3: s@a up", "2: s@a draining"}, "s@a draining 0"},
		{"an older process's up after a later start", []string{"1: s@a up", "4: s@a up 100", "1: s@a up"}, "s@a up 100"},
		{"a later event without the start", []string{"4: s@a up 100", "5: s@a up"}, "s@a up 0"},
		{"an older up after its address was taken", []string{"1: s@a up", "5: z@a up", "1: s@a up"}, "s@a removed 0"},
		{
			"an older snapshot after its address was taken",
			[]string{"1: s@a up", "5: z@a up", "1 all: s@a up, z@a up"},
			"s@a removed 0, z@a up 0",
		},
		{"a later up after its address was taken", []string{"1: s@a up", "5: z@a up", "6: s@b up"}, "s@b up 0"},
		{"addresses exchanged by one event", []string{"1: s@a up, z@b up", "2: z@a up, s@b up"}, "z@a up 0, s@b up 0"},
		{"a drain without an address", []string{"1: s@a up", "2: s@ draining"}, "s@a draining 0"},
		{"a drain without an address of an unknown endpoint", []string{"2: s@ draining"}, ""},
		{"a removal of an unknown endpoint", []string{"2: s@ removed"}, "s@ removed 0"},
		{"delivered twice", []string{"1: s@a up 7", "1: s@a up 7"}, "s@a up 7"},
	} {
		var guard versionGuard
		var got string
		for _, text := range test.events {
			event := parseEvent(t, text)
			got = endpointsText(guard.pass(event, event.Version))
		}
		if got != test.want {
			t.Errorf("%s: %v: last delivered as %q, want %q", test.name, test.events, got, test.want)
		}
	}
}

// The guard doesn't grow with every endpoint that was ever listed, and forgets one that is gone before one that is up.
func TestVersionGuard_IsBounded(t *testing.T) {
	var guard versionGuard
	guard.pass(parseEvent(t, "1: up@a up"), 1)
	const last = maxGuarded + 99
	for version := int64(2); version <= last; version++ {
		name := strconv.FormatInt(version, 10)
		removed := Endpoint{UID: name, Address: name, State: Removed}
		guard.pass(Event{Version: version, Endpoints: []Endpoint{removed}}, version)
	}
	if _, held := guard.endpoints["up"]; len(guard.endpoints) != maxGuarded || !held {
		t.Errorf("%d endpoints, the one that is up held: %v", len(guard.endpoints), held)
	}
	for version := int64(1); version <= 2*maxSeen; version++ {
		if event := (Event{Version: version}); guard.seen(event) || !guard.seen(event) {
			t.Fatalf("event %d is not known again, or was before", version)
		}
	}
	if len(guard.delivered) > maxSeen {
		t.Errorf("%d events are remembered", len(guard.delivered))
	}
	latest := guard.pass(parseEvent(t, fmt.Sprintf("1: %d@%[1]d up", last)), 1)
	if got, want := endpointsText(latest), fmt.Sprintf("%d@%[1]d removed 0", last); got != want {
		t.Errorf("the latest that was removed is delivered as %q, want %q", got, want)
	}
}
