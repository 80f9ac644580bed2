package endpointlist

import (
	"fmt"
	"strings"
	"testing"
)

// event reads "5: s-1@a up 100, s-2@b draining": the number, then the lines. "5 all:" is a whole list.
func event(t *testing.T, text string) Event {
	t.Helper()
	head, rest, _ := strings.Cut(text, ":")
	var e Event
	if _, err := fmt.Sscan(head, &e.Version); err != nil {
		t.Fatal(err)
	}
	e.Snapshot = strings.HasSuffix(head, "all")
	for line := range strings.SplitSeq(rest, ",") {
		f := append(strings.Fields(line), "0")
		if len(f) < 3 {
			continue
		}
		uid, address, _ := strings.Cut(f[0], "@")
		l := Endpoint{UID: uid, Address: address, State: map[string]State{"up": Up, "draining": Draining, "removed": Removed}[f[1]]}
		fmt.Sscan(f[2], &l.StartedAt)
		e.Endpoints = append(e.Endpoints, l)
	}
	return e
}

func text(e Event) string {
	var lines []string
	for _, l := range e.Endpoints {
		lines = append(lines, fmt.Sprintf("%s@%s %s %d", l.UID, l.Address, [...]string{"up", "draining", "removed"}[l.State], l.StartedAt))
	}
	return strings.Join(lines, ", ")
}

// Guards against an older line that takes a drain back, and against newer ones that are held back.
func TestVersionGuard_HoldsBackOlderLines(t *testing.T) {
	for _, k := range []struct {
		name   string
		events []string
		want   string // of the last event
	}{
		{"in order", []string{"1: s@a up", "2: s@a draining"}, "s@a draining 0"},
		{"a drain taken back by a later event", []string{"1: s@a up", "2: s@a draining", "3: s@a up"}, "s@a up 0"},
		{"an older up after a drain", []string{"1: s@a up", "5: s@a draining", "1: s@a up"}, "s@a draining 0"},
		{"an older up after a removal", []string{"1: s@a up", "5: s@a removed", "1: s@a up"}, "s@a removed 0"},
		{"an older whole list after a drain", []string{"1: s@a up", "5: s@a draining", "1 all: s@a up, z@b up"}, "s@a draining 0, z@b up 0"},
		{"an older up after a whole list without it", []string{"1: s@a up", "5 all: z@b up", "1: s@a up"}, "s@a removed 0"},
		{"a new count, and a later start", []string{"5: s@a draining 100", "1: s@a up 101"}, "s@a up 101"},
		{"a new count, and the same start", []string{"5: s@a draining 100", "1: s@a up 100"}, "s@a draining 100"},
		{"a removal that tells no start", []string{"4: s@a up 100", "5: s@ removed", "4: s@a up 100"}, "s@a removed 0"},
		{"a new count that is past the drain", []string{"2: s@a draining", "1: s@a up", "3: s@a up"}, "s@a up 0"},
		{"told twice in a row: down, up", []string{"3: s@a removed", "4: s@a up", "3: s@a removed", "4: s@a up"}, "s@a up 0"},
		{"told twice in a row: up, down, up, down", []string{"2: s@a draining", "3: s@a up", "4: s@a draining", "2: s@a draining", "3: s@a up"}, "s@a draining 0"},
		{"an older drain after an up", []string{"3: s@a up", "2: s@a draining"}, "s@a draining 0"},
		{"an older process's up after a later start", []string{"1: s@a up", "4: s@a up 100", "1: s@a up"}, "s@a up 100"},
		{"a later event without the start", []string{"4: s@a up 100", "5: s@a up"}, "s@a up 0"},
		{"an older up after its address was taken", []string{"1: s@a up", "5: z@a up", "1: s@a up"}, "s@a removed 0"},
		{"an older whole list after its address was taken", []string{"1: s@a up", "5: z@a up", "1 all: s@a up, z@a up"}, "s@a removed 0, z@a up 0"},
		{"a later up after its address was taken", []string{"1: s@a up", "5: z@a up", "6: s@b up"}, "s@b up 0"},
		{"addresses exchanged by one event", []string{"1: s@a up, z@b up", "2: z@a up, s@b up"}, "z@a up 0, s@b up 0"},
		{"a drain without an address", []string{"1: s@a up", "2: s@ draining"}, "s@a draining 0"},
		{"a drain without an address of an unknown pool", []string{"2: s@ draining"}, ""},
		{"a removal of an unknown pool", []string{"2: s@ removed"}, "s@ removed 0"},
		{"told twice", []string{"1: s@a up 7", "1: s@a up 7"}, "s@a up 7"},
	} {
		var guard versionGuard
		var got string
		for _, e := range k.events {
			e := event(t, e)
			got = text(guard.pass(e, e.Version))
		}
		if got != k.want {
			t.Errorf("%s: %v: last told as %q, want %q", k.name, k.events, got, k.want)
		}
	}
}

// Guards against a fence that grows with every pool that was ever listed, and against one that forgets a pool that
// is up to remember one that is gone.
func TestVersionGuard_IsBounded(t *testing.T) {
	var guard versionGuard
	guard.pass(event(t, "1: up@a up"), 1)
	const last = maxGuarded + 99
	for no := int64(2); no <= last; no++ {
		guard.pass(Event{Version: no, Endpoints: []Endpoint{{UID: fmt.Sprint(no), Address: fmt.Sprint(no), State: Removed}}}, no)
	}
	if _, held := guard.endpoints["up"]; len(guard.endpoints) != maxGuarded || !held {
		t.Errorf("%d pools, the one that is up held: %v", len(guard.endpoints), held)
	}
	for no := int64(1); no <= 2*maxSeen; no++ {
		if e := (Event{Version: no}); guard.seen(e) || !guard.seen(e) {
			t.Fatalf("event %d is not known again, or was before", no)
		}
	}
	if len(guard.delivered) > maxSeen {
		t.Errorf("%d events are remembered", len(guard.delivered))
	}
	if e := guard.pass(event(t, fmt.Sprintf("1: %d@%[1]d up", last)), 1); text(e) != fmt.Sprintf("%d@%[1]d removed 0", last) {
		t.Errorf("the latest that went is told as %q", text(e))
	}
}
