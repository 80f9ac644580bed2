package past

import (
	"fmt"
	"testing"
)

func TestLatestAreKept(t *testing.T) {
	n := New(3)
	for i := range 10 {
		n.Add(fmt.Sprint(i))
		n.Add(fmt.Sprint(i)) // takes no second place
		for j := range 10 {
			if got, want := n.Has(fmt.Sprint(j)), j <= i && j > i-3; got != want {
				t.Errorf("after %d: %d is known: %v", i, j, got)
			}
		}
	}
	if len(n.known) != 3 || len(n.order) != 3 {
		t.Errorf("%d and %d names", len(n.known), len(n.order))
	}
}
