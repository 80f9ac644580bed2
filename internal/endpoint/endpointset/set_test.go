package endpointset

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

const (
	second = int64(1_000_000) // µs

	serviceName = "_sip._tcp.g1.pools.example.org"
	addressA    = "127.0.0.1:1"
	addressB    = "127.0.0.2:1"
)

// newSet returns a Set with a declared name.
func newSet(tb testing.TB) *Set {
	tb.Helper()
	set, err := New(Config{
		MaxStale:     30 * second,
		DrainTimeout: 20 * second,
		TombstoneTTL: 60 * second,
		MaxRecords:   8,
		MaxEndpoints: 8,
	})
	if err != nil {
		tb.Fatal(err)
	}
	set.AddName(serviceName, 1, "batumi")
	return set
}

func newRecord(target, address string, ttl int64) Record {
	return Record{Target: target, Address: address, Priority: 10, Weight: 5, TTL: ttl}
}

// recordA and recordB are records of the endpoints at addressA and addressB.
func recordA() Record { return newRecord("a", addressA, 5*second) }

func recordB() Record { return newRecord("b", addressB, 5*second) }

// isBusy says that calls are established at every endpoint, isIdle that none are.
func isBusy(string) bool { return true }

func isIdle(string) bool { return false }

// requireStates fails the test unless the view holds just these endpoints, by address, in these states.
func requireStates(tb testing.TB, set *Set, now int64, want map[string]State) {
	tb.Helper()
	view, _ := set.View(now)
	got := map[string]State{}
	for _, endpoint := range view {
		if _, twice := got[endpoint.Address]; twice {
			tb.Fatalf("address %s twice in the view", endpoint.Address)
		}
		got[endpoint.Address] = endpoint.State
	}
	if len(got) != len(want) {
		tb.Fatalf("view %v, want %v", got, want)
	}
	for address, state := range want {
		if got[address] != state {
			tb.Fatalf("view %v, want %v", got, want)
		}
	}
}

func TestNew_BadConfigNamesTheField(t *testing.T) {
	for _, test := range []struct {
		config Config
		field  string
	}{
		{Config{MaxStale: -1, MaxRecords: 1, MaxEndpoints: 1}, "stale_for"},
		{Config{DrainTimeout: -1, MaxRecords: 1, MaxEndpoints: 1}, "drain_for"},
		{Config{TombstoneTTL: -1, MaxRecords: 1, MaxEndpoints: 1}, "tombstone"},
		{Config{}, "most_records"},
	} {
		_, err := New(test.config)
		if !errors.Is(err, ErrConfig) || !strings.Contains(err.Error(), test.field) {
			t.Errorf("%+v: %v, want one naming %s", test.config, err, test.field)
		}
		var configError *ConfigError
		if !errors.As(err, &configError) || !strings.Contains(configError.Field, test.field) {
			t.Errorf("%+v: %#v, want a ConfigError of %s", test.config, err, test.field)
		}
	}
}

func TestSet_StaysWithinItsBounds(t *testing.T) {
	set := newSet(t)
	const count = 20
	records := make([]Record, 0, count)
	entries := make([]ListEntry, 0, count)
	for i := range count {
		records = append(records, newRecord(fmt.Sprint("target", i), fmt.Sprint("127.0.0.1:", i), second))
		entries = append(entries, ListEntry{UID: fmt.Sprint("uid", i), Address: fmt.Sprint("127.0.1.1:", i)})
	}

	set.UpdateRecords(0, serviceName, records)
	if view, _ := set.View(0); len(view) != 8 || set.Counts().Dropped != 12 {
		t.Errorf("%d endpoints, %d dropped; want 8 and 12", len(view), set.Counts().Dropped)
	}

	set.UpdateList(0, true, entries)
	if len(set.listed) != 8 {
		t.Errorf("%d entries of the endpoint list kept, want 8", len(set.listed))
	}
}

func TestRemoveName_RemovesItsEndpoints(t *testing.T) {
	set := newSet(t)
	set.UpdateRecords(0, serviceName, []Record{recordA()})
	set.View(0)

	set.RemoveName(serviceName)
	requireStates(t, set, 0, nil)

	set.UpdateRecords(second, serviceName, []Record{recordA()}) // an answer that was in flight
	requireStates(t, set, second, nil)
}

func TestSetConfig_BadConfigChangesNothing(t *testing.T) {
	set := newSet(t)
	before := set.config
	if err := set.SetConfig(Config{MaxStale: -1, MaxRecords: 1, MaxEndpoints: 1}); !errors.Is(err, ErrConfig) {
		t.Errorf("%v, want an ErrConfig", err)
	}
	if set.config != before {
		t.Errorf("config %+v, want %+v", set.config, before)
	}
}
