package main

import (
	"strings"
	"testing"
)

func TestWithLongFlags_SpellingsOfEarlierVersions(t *testing.T) {
	got := withLongFlags([]string{"-callcontrol", "x", "-discovery=y", "-v", "--verbose", "check", "-other"})
	want := []string{"--callcontrol", "x", "--discovery=y", "-v", "--verbose", "check", "-other"}
	if strings.Join(got, " ") != strings.Join(want, " ") {
		t.Errorf("%v, want %v", got, want)
	}
}
