package recentset_test

import (
	"strconv"
	"testing"

	"eidertrail/internal/recentset"
)

func TestSet_KeepsTheStringsAddedLast(t *testing.T) {
	const capacity = 3
	set := recentset.New(capacity)
	for added := range 10 {
		set.Add(strconv.Itoa(added))
		set.Add(strconv.Itoa(added)) // takes no second place
		members := 0
		for j := range 10 {
			got := set.Contains(strconv.Itoa(j))
			if want := j <= added && j > added-capacity; got != want {
				t.Errorf("after %d: Contains(%d) = %v, want %v", added, j, got, want)
			}
			if got {
				members++
			}
		}
		if want := min(added+1, capacity); members != want {
			t.Errorf("after %d: %d members, want %d", added, members, want)
		}
	}
}

func TestSet_SecondAddAndLookUpKeepThePlace(t *testing.T) {
	set := recentset.New(2)
	set.Add("first")
	set.Add("second")
	set.Add("first")
	set.Contains("first")
	set.Add("third")
	if set.Contains("first") || !set.Contains("second") || !set.Contains("third") {
		t.Error("the oldest string was not the one dropped")
	}
}
