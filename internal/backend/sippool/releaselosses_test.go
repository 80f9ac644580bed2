package sippool

import "testing"

func TestReleaseLosses_TwoConnectionsInARowLoseReleases(t *testing.T) {
	var losses releaseLosses
	losses.connectionEnded(1_000_000, 5_000_000)
	losses.connectionEnded(6_000_000, 6_050_000) // not stable: nothing was received for long enough

	answeredBefore, unconfirmedUntil, lost := losses.connectionStable(7_000_000)
	if !lost || answeredBefore != 6_000_000 || unconfirmedUntil != 12_000_000 {
		t.Errorf("lost %t, answered before %d, unconfirmed until %d", lost, answeredBefore, unconfirmedUntil)
	}

	if _, _, lost := losses.connectionStable(7_500_000); lost {
		t.Error("a second stable connection reports the same loss")
	}
}

func TestReleaseLosses_OneConnectionLosesNone(t *testing.T) {
	var losses releaseLosses
	losses.connectionEnded(1_000_000, 5_000_000)
	if _, _, lost := losses.connectionStable(6_000_000); lost {
		t.Error("lost, though the next connection was stable")
	}
}

func TestReleaseLosses_AreForgottenAfterTheUnconfirmedTimeout(t *testing.T) {
	var losses releaseLosses
	losses.connectionEnded(1_000_000, 5_000_000)
	losses.connectionEnded(6_000_000, 6_000_000)
	if _, _, lost := losses.connectionStable(12_000_000); lost {
		t.Error("lost, though the calls would have been released already")
	}
}
