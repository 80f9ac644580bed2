package swim

import "testing"

func TestMember_ClaimPrecedence(t *testing.T) {
	const older, same, newer = 4, 5, 6
	for _, test := range []struct {
		name  string
		held  State
		claim State
		of    uint64
		want  bool
	}{
		{"anything is news of an unknown member", Unknown, Alive, older, true},
		{"alive does not refute a suspicion of the same incarnation", Suspect, Alive, same, false},
		{"alive refutes a suspicion with a newer incarnation", Suspect, Alive, newer, true},
		{"a suspicion of an older incarnation is refuted already", Alive, Suspect, older, false},
		{"a suspicion takes precedence over alive", Alive, Suspect, same, true},
		{"a suspicion does not bring back the dead", Dead, Suspect, same, false},
		{"a death takes precedence over a suspicion", Suspect, Dead, same, true},
		{"a death does not contradict one that left", Left, Dead, same, false},
		{"one that left is not dead", Dead, Left, same, true},
		{"one that left may come back", Left, Alive, newer, true},
	} {
		held := Member{State: test.held, Incarnation: same}
		claim := Update{State: test.claim, Incarnation: test.of}
		if got := held.supersededBy(claim); got != test.want {
			t.Errorf("%s: %t", test.name, got)
		}
	}
}
