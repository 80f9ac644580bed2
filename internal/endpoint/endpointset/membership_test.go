package endpointset

import (
	"errors"
	"testing"
)

const s1 = int64(1_000_000) // a second in µs

const name = "_sip._tcp.g1.pools.example.org"

func newSet(t *testing.T) *Set {
	t.Helper()
	s, err := New(Config{StaleFor: 30 * s1, DrainFor: 20 * s1, Tombstone: 60 * s1, MaxRecords: 8, MaxEndpoints: 8})
	if err != nil {
		t.Fatal(err)
	}
	s.AddName(name, 1, "batumi")
	return s
}

func rec(target, address string, ttl int64) Record {
	return Record{Target: target, Address: address, Priority: 10, Weight: 5, TTL: ttl}
}

// states returns the view as address to state.
func states(t *testing.T, s *Set, now int64) map[string]State {
	t.Helper()
	view, _ := s.View(now)
	out := map[string]State{}
	for _, m := range view {
		if _, twice := out[m.Address]; twice {
			t.Fatalf("address %s twice in the view", m.Address)
		}
		out[m.Address] = m.State
	}
	return out
}

func want(t *testing.T, got map[string]State, w map[string]State) {
	t.Helper()
	if len(got) != len(w) {
		t.Fatalf("view %v, want %v", got, w)
	}
	for a, st := range w {
		if got[a] != st {
			t.Fatalf("view %v, want %v", got, w)
		}
	}
}

func TestBadConfigNamesTheField(t *testing.T) {
	for _, c := range []struct {
		cfg   Config
		field string
	}{
		{Config{StaleFor: -1, MaxRecords: 1, MaxEndpoints: 1}, "stale_for"},
		{Config{DrainFor: -1, MaxRecords: 1, MaxEndpoints: 1}, "drain_for"},
		{Config{Tombstone: -1, MaxRecords: 1, MaxEndpoints: 1}, "tombstone"},
		{Config{}, "most_records"},
	} {
		_, err := New(c.cfg)
		if !errors.Is(err, ErrConfig) || !contains(err.Error(), c.field) {
			t.Errorf("%+v: %v, want one naming %s", c.cfg, err, c.field)
		}
	}
}

func contains(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if s[i:i+len(sub)] == sub {
			return true
		}
	}
	return false
}

func TestRecordsMakePoolsOfTheirNamesGroup(t *testing.T) {
	s := newSet(t)
	s.UpdateRecords(0, name, []Record{rec("a.pools.example.org", "127.0.0.1:5060", 5*s1), rec("b.pools.example.org", "127.0.0.2:5060", 5*s1)})
	view, changed := s.View(0)
	if !changed || len(view) != 2 {
		t.Fatalf("view %+v changed %v", view, changed)
	}
	for _, m := range view {
		if m.Group != 1 || m.State != Up || m.Sources != "dns" || m.StartedAt != 0 || m.UID == "" {
			t.Errorf("member %+v", m)
		}
	}
	if _, changed := s.View(0); changed {
		t.Error("a second view with nothing new is told as changed")
	}
}

func TestRecordThatComesLaterStartsCold(t *testing.T) {
	s := newSet(t)
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 5*s1)})
	s.UpdateRecords(3*s1, name, []Record{rec("a", "127.0.0.1:1", 5*s1), rec("b", "127.0.0.2:1", 5*s1)})
	view, _ := s.View(3 * s1)
	for _, m := range view {
		if (m.Address == "127.0.0.2:1") != (m.StartedAt == 3*s1) {
			t.Errorf("member %+v: only the late record starts cold", m)
		}
	}
}

func TestVanishedRecordDrainsThenGoes(t *testing.T) {
	s := newSet(t)
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 5*s1), rec("b", "127.0.0.2:1", 5*s1)})
	s.View(0)
	s.UpdateRecords(s1, name, []Record{rec("a", "127.0.0.1:1", 5*s1)})
	want(t, states(t, s, s1), map[string]State{"127.0.0.1:1": Up, "127.0.0.2:1": Draining})
	busy := true
	s.Advance(2*s1, func(string) bool { return busy })
	want(t, states(t, s, 2*s1), map[string]State{"127.0.0.1:1": Up, "127.0.0.2:1": Draining})
	busy = false // its last call ended
	s.Advance(3*s1, func(string) bool { return busy })
	want(t, states(t, s, 3*s1), map[string]State{"127.0.0.1:1": Up})
	if c := s.Counts(); c.Vanished != 1 || c.Drained != 1 {
		t.Errorf("counts %+v", c)
	}
}

func TestDrainEndsAfterDrainForEvenWithCallsStanding(t *testing.T) {
	s := newSet(t)
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 5*s1)})
	s.View(0)
	s.UpdateRecords(s1, name, nil)
	always := func(string) bool { return true }
	s.Advance(s1+20*s1-1, always)
	want(t, states(t, s, 21*s1-1), map[string]State{"127.0.0.1:1": Draining})
	if next := s.Next(); next != 21*s1 {
		t.Errorf("next %d, want the end of the drain %d", next, 21*s1)
	}
	s.Advance(21*s1, always)
	want(t, states(t, s, 21*s1), map[string]State{})
}

func TestPoolThatDrainsInTheBulletinAndVanishesFromDNSFinishesItsDrain(t *testing.T) {
	s := newSet(t)
	s.UpdateList(0, true, []ListEntry{{UID: "p1", Address: "127.0.0.1:1", Group: 1}})
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 5*s1)})
	s.View(0)
	s.UpdateList(s1, false, []ListEntry{{UID: "p1", Address: "127.0.0.1:1", Group: 1, State: Draining}})
	want(t, states(t, s, s1), map[string]State{"127.0.0.1:1": Draining})
	s.UpdateRecords(2*s1, name, nil) // it vanishes from DNS while it drains
	want(t, states(t, s, 2*s1), map[string]State{"127.0.0.1:1": Draining})
	s.Advance(3*s1, func(string) bool { return false })
	// DNS is done with it; the bulletin still says it drains, and it does until the bulletin removes it.
	want(t, states(t, s, 3*s1), map[string]State{"127.0.0.1:1": Draining})
	s.UpdateList(4*s1, false, []ListEntry{{UID: "p1", State: Removed}})
	want(t, states(t, s, 4*s1), map[string]State{})
}

func TestDNSCannotBringBackWhatTheBulletinRemoved(t *testing.T) {
	s := newSet(t)
	s.UpdateList(0, true, []ListEntry{{UID: "p1", Address: "127.0.0.1:1", Group: 1}})
	s.View(0)
	s.UpdateList(s1, false, []ListEntry{{UID: "p1", State: Removed}})
	s.UpdateRecords(2*s1, name, []Record{rec("a", "127.0.0.1:1", 300*s1)})
	want(t, states(t, s, 2*s1), map[string]State{})
	if s.Counts().Conflicts == 0 {
		t.Error("the conflict is not counted")
	}
	s.Advance(61*s1, nil) // the tombstone ends: DNS may add it now, as a new process
	want(t, states(t, s, 61*s1), map[string]State{"127.0.0.1:1": Up})
}

func TestAnyDrainWins(t *testing.T) {
	s := newSet(t)
	s.UpdateList(0, true, []ListEntry{{UID: "p1", Address: "127.0.0.1:1", Group: 1, State: Draining}})
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 5*s1)})
	view, _ := s.View(0)
	if len(view) != 1 || view[0].State != Draining || view[0].UID != "p1" || view[0].Sources != "bulletin+dns" {
		t.Fatalf("view %+v", view)
	}
}

func TestUIDStaysWhileTheAddressStays(t *testing.T) {
	s := newSet(t)
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 5*s1)})
	v0, _ := s.View(0)
	s.UpdateList(s1, true, []ListEntry{{UID: "p1", Address: "127.0.0.1:1", Group: 1}})
	v1, _ := s.View(s1)
	if len(v1) != 1 || v1[0].UID != v0[0].UID {
		t.Fatalf("uid moved from %+v to %+v: the pool's calls would be cut", v0, v1)
	}
}

func TestStaleSetIsKeptForTheStaleTimeThenDropped(t *testing.T) {
	s := newSet(t)
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 5*s1)})
	s.View(0)
	if next := s.Next(); next != 5*s1 {
		t.Errorf("next %d, want the TTL %d", next, 5*s1)
	}
	s.Advance(5*s1, nil) // no answer came: past its TTL it is served stale
	want(t, states(t, s, 5*s1), map[string]State{"127.0.0.1:1": Up})
	if next := s.Next(); next != 35*s1 {
		t.Errorf("next %d, want the end of the stale time %d", next, 35*s1)
	}
	s.Advance(35*s1-1, nil)
	want(t, states(t, s, 35*s1-1), map[string]State{"127.0.0.1:1": Up})
	s.Advance(35*s1, func(string) bool { return true })
	want(t, states(t, s, 35*s1), map[string]State{"127.0.0.1:1": Draining})
	if c := s.Counts(); c.Expired != 1 || c.StaleServed != 1 {
		t.Errorf("counts %+v", c)
	}
}

func TestTTLZeroIsStaleAtOnceButKept(t *testing.T) {
	s := newSet(t)
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 0)})
	s.Advance(0, nil)
	want(t, states(t, s, 0), map[string]State{"127.0.0.1:1": Up})
	s.UpdateRecords(s1, name, []Record{rec("a", "127.0.0.1:1", 0)})
	s.Advance(s1, nil)
	want(t, states(t, s, s1), map[string]State{"127.0.0.1:1": Up})
}

func TestFlappingRecordComesBackUp(t *testing.T) {
	s := newSet(t)
	a := []Record{rec("a", "127.0.0.1:1", 5*s1)}
	busy := func(string) bool { return true }
	for i := range int64(6) {
		now := i * s1
		if i%2 == 0 {
			s.UpdateRecords(now, name, a)
			want(t, states(t, s, now), map[string]State{"127.0.0.1:1": Up})
		} else {
			s.UpdateRecords(now, name, nil)
			s.Advance(now, busy)
			want(t, states(t, s, now), map[string]State{"127.0.0.1:1": Draining})
		}
	}
}

func TestBoundsHold(t *testing.T) {
	s := newSet(t)
	var many []Record
	for i := range 20 {
		many = append(many, rec(string(rune('a'+i)), "127.0.0.1:"+string(rune('0'+i%10))+string(rune('0'+i/10)), s1))
	}
	s.UpdateRecords(0, name, many)
	if view, _ := s.View(0); len(view) != 8 || s.Counts().Dropped != 12 {
		t.Errorf("%d pools, %d dropped; want 8 and 12", len(view), s.Counts().Dropped)
	}
	var pools []ListEntry
	for i := range 20 {
		pools = append(pools, ListEntry{UID: string(rune('a' + i)), Address: "127.0.1.1:" + string(rune('0'+i%10)) + string(rune('0'+i/10))})
	}
	s.UpdateList(0, true, pools)
	if len(s.pools) != 8 {
		t.Errorf("%d pools of the bulletin kept, want 8", len(s.pools))
	}
}

func TestForgottenNameTakesItsPools(t *testing.T) {
	s := newSet(t)
	s.UpdateRecords(0, name, []Record{rec("a", "127.0.0.1:1", 5*s1)})
	s.View(0)
	s.RemoveName(name)
	want(t, states(t, s, 0), map[string]State{})
	s.UpdateRecords(s1, name, []Record{rec("a", "127.0.0.1:1", 5*s1)}) // an answer in flight for a forgotten name
	want(t, states(t, s, s1), map[string]State{})
}

func TestAllEventRemovesWhatItDoesNotName(t *testing.T) {
	s := newSet(t)
	s.UpdateList(0, true, []ListEntry{{UID: "p1", Address: "127.0.0.1:1"}, {UID: "p2", Address: "127.0.0.2:1"}})
	s.UpdateList(s1, true, []ListEntry{{UID: "p2", Address: "127.0.0.2:1"}})
	want(t, states(t, s, s1), map[string]State{"127.0.0.2:1": Up})
	s.Advance(s1+60*s1, nil)
	if len(s.pools) != 1 {
		t.Errorf("%d pools kept after the tombstone, want 1", len(s.pools))
	}
}

func TestAddressTakenOverByAnotherBulletinPool(t *testing.T) {
	s := newSet(t)
	s.UpdateList(0, true, []ListEntry{{UID: "p1", Address: "127.0.0.1:1"}})
	s.UpdateList(s1, true, []ListEntry{{UID: "p1", State: Removed}, {UID: "p9", Address: "127.0.0.1:1"}})
	view, _ := s.View(s1)
	if len(view) != 1 || view[0].State != Up {
		t.Fatalf("view %+v: the new pool at the address is up", view)
	}
}

func TestOrderIsPriorityThenWeight(t *testing.T) {
	ms := []Endpoint{{Address: "c", Priority: 20, Weight: 1}, {Address: "b", Priority: 10, Weight: 1}, {Address: "a", Priority: 10, Weight: 9}}
	Order(ms)
	if ms[0].Address != "a" || ms[1].Address != "b" || ms[2].Address != "c" {
		t.Errorf("order %+v", ms)
	}
}
