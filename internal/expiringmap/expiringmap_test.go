package expiringmap_test

import (
	"testing"
	"time"

	"eidertrail/internal/expiringmap"
)

func TestMap_InsertKeepsTheFirstValueOfAKey(t *testing.T) {
	var table expiringmap.Map[string, int]
	table.Insert("a", 1, time.Second)
	table.Insert("a", 2, time.Minute)

	if got, ok := table.Get("a"); !ok || got != 1 {
		t.Errorf("Get(a) = %d, %v, want 1, true", got, ok)
	}
	table.Expire(time.Second)
	if got, ok := table.Get("a"); ok {
		t.Errorf("Get(a) = %d after the first value expired, want none", got)
	}
}

func TestMap_ExpireRemovesAnEntryAtItsTime(t *testing.T) {
	var table expiringmap.Map[string, int]
	table.Insert("a", 1, time.Second)

	table.Expire(time.Second - 1)
	if _, ok := table.Get("a"); !ok {
		t.Error("a was removed before its time")
	}
	table.Expire(time.Second)
	if _, ok := table.Get("a"); ok {
		t.Error("a was kept beyond its time")
	}
}

func TestMap_EntryWithALateExpiryKeepsThoseInsertedAfterIt(t *testing.T) {
	var table expiringmap.Map[string, int]
	table.Insert("late", 1, time.Minute)
	table.Insert("early", 2, time.Second)

	table.Expire(2 * time.Second)
	if table.Len() != 2 {
		t.Errorf("%d entries, want both", table.Len())
	}
	table.Expire(time.Minute)
	if table.Len() != 0 {
		t.Errorf("%d entries, want none", table.Len())
	}
}

func TestMap_DeletedKeyCanBeReinserted(t *testing.T) {
	var table expiringmap.Map[string, int]
	table.Insert("a", 1, time.Second)
	table.Delete("a")
	if _, ok := table.Get("a"); ok {
		t.Error("a is there after Delete")
	}
	table.Insert("a", 2, time.Minute)

	table.Expire(time.Second)
	if got, ok := table.Get("a"); !ok || got != 2 {
		t.Errorf("Get(a) = %d, %v after the deleted entry's time, want 2, true", got, ok)
	}
}

func TestMap_EarlierPlaceOfTheSameValueRemovesTheKey(t *testing.T) {
	var table expiringmap.Map[string, int]
	table.Insert("a", 1, time.Second)
	table.Delete("a")
	table.Insert("a", 1, time.Minute)

	table.Expire(time.Second)
	if _, ok := table.Get("a"); ok {
		t.Error("a is there, want it removed with the equal value inserted first")
	}
}
