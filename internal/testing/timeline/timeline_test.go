package timeline

import (
	"errors"
	"testing"
	"time"
)

func TestParse_StepsAndInvalidLines(t *testing.T) {
	steps, err := Parse("# a comment\n0s members 3\n\n2.5s cut 0>2\n")
	if err != nil || len(steps) != 2 || steps[1].At != 2500*time.Millisecond || steps[1].String() != "cut 0>2" {
		t.Errorf("%+v, %v", steps, err)
	}
	for text, line := range map[string]int{"2s": 1, "0s a\nsoon b": 2, "3s a\n2s b": 2, "-1s a": 1} {
		var e *ScriptError
		if _, err := Parse(text); !errors.As(err, &e) || e.Line != line {
			t.Errorf("%q: %v, want an error in line %d", text, err, line)
		}
	}
}

// What a node reports is in its column and in its order; what happens to all goes across, and nothing is moved past it.
func TestDraw_RowsInOrder(t *testing.T) {
	got := Render([]string{"a", "b"}, 100_000, []Event{
		{250_000, 1, "second"},
		{10_000, 0, "first"},
		{260_000, 0, "same row"},
		{270_000, 1, "next row"},
		{280_000, -1, "heal"},
		{290_000, 0, "after"},
	})
	want := `          a         b
   0.0 s  first
   0.2 s  same row  second
                    next row
          ---- heal ----
          after
`
	if got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
