package keybackoff_test

import (
	"testing"
	"time"

	"eidertrail/internal/keybackoff"
)

const (
	maxKeys     = 4
	maxMultiple = 8
	first       = time.Second
	key         = 77
)

func TestTable_UnknownKeyIsInNoBackoff(t *testing.T) {
	table := keybackoff.New(maxKeys, maxMultiple)
	for _, now := range []time.Duration{0, time.Hour} {
		if got := table.Remaining(now, key); got != 0 || table.Active(now, key) {
			t.Errorf("at %v: %v remain, active %v, want 0, false", now, got, table.Active(now, key))
		}
	}
}

func TestTable_BackoffEndsAfterItsLength(t *testing.T) {
	table := keybackoff.New(maxKeys, maxMultiple)
	table.Fail(time.Hour, key, first)

	for after, want := range map[time.Duration]time.Duration{0: first, first / 4: first * 3 / 4, first: 0, 2 * first: 0} {
		if got := table.Remaining(time.Hour+after, key); got != want {
			t.Errorf("%v after the failure: %v remain, want %v", after, got, want)
		}
		if got := table.Active(time.Hour+after, key); got != (want > 0) {
			t.Errorf("%v after the failure: active %v", after, got)
		}
	}
	if got := table.Remaining(time.Hour, key+1); got != 0 {
		t.Errorf("another key: %v remain, want 0", got)
	}
}

func TestTable_BackoffDoublesUpToItsMultiple(t *testing.T) {
	table := keybackoff.New(maxKeys, maxMultiple)
	now := time.Hour
	for _, multiple := range []time.Duration{1, 2, 4, 8, 8, 8} {
		table.Fail(now, key, first)
		if got := table.Remaining(now, key); got != multiple*first {
			t.Errorf("backoff of %v, want %v", got, multiple*first)
		}
		now += multiple * first
	}
}

func TestTable_BackoffLongEndedIsForgotten(t *testing.T) {
	remembered := first + maxMultiple*first // its length, and the multiple of it
	table := keybackoff.New(maxKeys, maxMultiple)
	table.Fail(0, key, first)

	if table.Active(remembered, key) {
		t.Error("active beyond its length")
	}
	if table.Len() != 1 {
		t.Error("forgotten too early")
	}
	table.Active(remembered+1, key)
	if table.Len() != 0 {
		t.Error("still remembered")
	}
	table.Fail(remembered+1, key, first)
	if got := table.Remaining(remembered+1, key); got != first {
		t.Errorf("backoff of %v after the last was forgotten, want %v", got, first)
	}
}

func TestTable_IsClearedWhenFull(t *testing.T) {
	table := keybackoff.New(maxKeys, maxMultiple)
	for added := range uint64(maxKeys) {
		table.Fail(0, added, first)
	}
	if table.Len() != maxKeys {
		t.Errorf("%d keys, want %d", table.Len(), maxKeys)
	}
	table.Fail(0, maxKeys, first)
	if table.Len() != 1 {
		t.Errorf("%d keys after one more, want that one", table.Len())
	}
}
