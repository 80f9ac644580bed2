package eidertrail

import (
	"errors"
	"strings"
	"testing"
)

func TestNew_RejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"Classes":          func(s *Settings) { s.Classes = nil },
		"Nodes":            func(s *Settings) { s.Nodes = 0 },
		"Index":            func(s *Settings) { s.Index = 4 },
		"Release":          func(s *Settings) { s.ReleaseWait = -1 },
		"Cold":             func(s *Settings) { s.SlowStartWindow = -1 },
		"Classes[1]":       func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Classes[0].Pools": func(s *Settings) { s.Classes[0].Pools = []int{-2} },
		"FallMultiple":     func(s *Settings) { s.OverloadMultiple = -1 },
	} {
		s := settings()
		invalidate(&s)
		_, err := New(s, 1)
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s invalid: error %v does not name it", name, err)
		}
		var invalid *SettingsError
		if !errors.As(err, &invalid) || invalid.Field != name || !strings.HasSuffix(err.Error(), invalid.Reason) {
			t.Errorf("%s invalid: error %#v, want a SettingsError of that field with its reason", name, err)
		}
	}
}
