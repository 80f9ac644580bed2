package recorded_test

import (
	"errors"
	"testing"

	"eidertrail/internal/testing/recorded"
)

func TestErrorLine(t *testing.T) {
	for _, test := range []struct {
		name   string
		err    error
		remedy string
		want   string
	}{
		{"no error", nil, "", "no error | no error |\n"},
		{"with a remedy", errors.New("broken"), "repair it", "with a remedy | broken | repair it\n"},
		{"without a remedy", errors.New("broken"), "", "without a remedy | broken |\n"},
	} {
		if got := recorded.ErrorLine(test.name, test.err, test.remedy); got != test.want {
			t.Errorf("got %q, want %q", got, test.want)
		}
	}
}
