package invariant

import "testing"

// tolerance is the pages' 50 ms.
const tolerance = 50_000

// dutyCase is a play of one duty that keeps it, and a mutation of the play that breaks it.
type dutyCase struct {
	rule          Rule
	kept, mutated func(c *Checker)
}

func dutyCases() map[string]dutyCase {
	return map[string]dutyCase{
		"a connection ends with an open set-up": {
			RuleNotLost,
			func(c *Checker) { c.CallAccepted(1, "a", 9); c.CallAnswered(2, "a", "established") },
			func(c *Checker) { c.CallAccepted(1, "a", 9); c.AnswerLost(2, "a", "reset") },
		},
		"an answer is made up": {
			RuleNotForged,
			func(*Checker) {},
			func(c *Checker) { c.AnswerForged(2, "a") },
		},
		"an end is told 1 s after the release": {
			RuleEndNotified,
			func(c *Checker) { c.CallEnded(0, "a"); c.CallReleased(5, "a"); c.EndNotified(1_050_005, "a") },
			func(c *Checker) { c.CallEnded(0, "a"); c.CallReleased(5, "a"); c.EndNotified(1_050_006, "a") },
		},
		"an end without a release is told after 8 s": {
			RuleEndNotified,
			func(c *Checker) { c.CallEnded(0, "a"); c.CheckEndsNotified(8_050_000); c.EndNotified(8_050_000, "a") },
			func(c *Checker) { c.CallEnded(0, "a"); c.CheckEndsNotified(8_050_001) },
		},
		"an end that nobody is owed": {
			RuleEndNotified,
			func(c *Checker) { c.CallEnded(0, "a"); c.EndExcused("a"); c.CheckEndsNotified(9_000_000) },
			func(c *Checker) { c.CallEnded(0, "a"); c.EndExcused("b"); c.CheckEndsNotified(9_000_000) },
		},
		"an end whose callers were away is owed to the next that comes": {
			RuleEndNotified,
			func(c *Checker) { c.CallEnded(0, "a"); c.EndPostponed(9_000_000, "a"); c.CheckEndsNotified(10_050_000) },
			func(c *Checker) { c.CallEnded(0, "a"); c.EndPostponed(9_000_000, "a"); c.CheckEndsNotified(10_050_001) },
		},
		"a drained process says ready": {
			RuleDrainedNotReady,
			func(c *Checker) { c.DrainStarted(1, "n"); c.ReadinessReported(9, 60_000, "n", false) },
			func(c *Checker) { c.DrainStarted(1, "n"); c.ReadinessReported(9, 60_000, "n", true) },
		},
		"a question that crossed the call to drain": {
			RuleDrainedNotReady,
			func(c *Checker) { c.DrainStarted(100_000, "n"); c.ReadinessReported(200_000, 99_000, "n", true) },
			func(c *Checker) { c.DrainStarted(100_000, "n"); c.ReadinessReported(200_000, 190_000, "n", true) },
		},
		"a drain that has ended": {
			RuleDrainedNotReady,
			func(c *Checker) {
				c.DrainStarted(1, "n")
				c.DrainEnded(2, "n")
				c.ReadinessReported(9, 100_000, "n", true)
			},
			func(c *Checker) {
				c.DrainStarted(1, "n")
				c.DrainEnded(2, "m")
				c.ReadinessReported(9, 100_000, "n", true)
			},
		},
		"a process is not ready after its drain": {
			RuleResumed,
			func(c *Checker) {
				c.DrainStarted(1, "n")
				c.DrainEnded(2, "n")
				c.ReadinessReported(9, 2_050_002, "n", false)
			},
			func(c *Checker) {
				c.DrainStarted(1, "n")
				c.DrainEnded(2, "n")
				c.ReadinessReported(9, 2_050_003, "n", false)
			},
		},
		"a drained process holds an idle connection": {
			RuleDrainedEmpty,
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.DrainStarted(1, "n")
				c.ConnectionClosed("c")
				c.CheckEmptied(4_050_001, "n")
			},
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.DrainStarted(1, "n")
				c.CheckEmptied(4_050_001, "n")
			},
		},
		"a drained process holds a recent set-up": {
			RuleDrainedEmpty,
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.DrainStarted(1, "n")
				c.SetupOpened(2_000_000, "c", "a")
				c.CheckEmptied(4_050_001, "n")
			},
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.DrainStarted(1, "n")
				c.SetupOpened(2_200_000, "c", "a")
				c.CheckEmptied(4_050_001, "n")
			},
		},
		"a drained process closes a connection at once after its last call": {
			RuleDrainedEmpty,
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.SetupOpened(1, "c", "a")
				c.SetupSettled(2, "c", "a", true)
				c.DrainStarted(1, "n")
				c.CallCleared(5_000_000, "c", "a")
				c.CheckEmptied(5_050_000, "n")
			},
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.SetupOpened(1, "c", "a")
				c.SetupSettled(2, "c", "a", true)
				c.DrainStarted(1, "n")
				c.CallCleared(5_000_000, "c", "a")
				c.CheckEmptied(5_050_001, "n")
			},
		},
		"a drained process refuses at once on a connection that it keeps": {
			RuleDrainedEmpty,
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.DrainStarted(1, "n")
				c.SetupOpened(4_100_000, "c", "a")
				c.CheckEmptied(4_150_000, "n")
			},
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.DrainStarted(1, "n")
				c.SetupOpened(4_100_000, "c", "a")
				c.CheckEmptied(4_150_001, "n")
			},
		},
		"a drained process keeps the connection of an established call": {
			RuleDrainedEmpty,
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.SetupOpened(1, "c", "a")
				c.SetupSettled(2, "c", "a", true)
				c.DrainStarted(1, "n")
				c.CheckEmptied(4_050_001, "n")
			},
			func(c *Checker) {
				c.ConnectionOpened(1, "c", "n")
				c.SetupOpened(1, "c", "a")
				c.SetupSettled(2, "c", "a", true)
				c.DrainStarted(1, "n")
				c.CallCleared(3_900_000, "c", "a")
				c.CheckEmptied(4_050_001, "n")
			},
		},
		"an operator waits": {
			RuleOperatorAnswered,
			func(c *Checker) { c.OperatorAnswered(1, "n", "GET /_ready", 1_050_000, true) },
			func(c *Checker) { c.OperatorAnswered(1, "n", "GET /_ready", 1_050_001, true) },
		},
		"an operator gets no answer": {
			RuleOperatorAnswered,
			func(c *Checker) { c.OperatorAnswered(1, "n", "GET /_ready", 1, true) },
			func(c *Checker) { c.OperatorAnswered(1, "n", "GET /_ready", 1, false) },
		},
		"a figure is out by more than its part": {
			RuleFigures,
			func(c *Checker) { c.FigureRead(1, "n", Reading{"x", 1010, 1000, 1000, 0.01, 3}) },
			func(c *Checker) { c.FigureRead(1, "n", Reading{"x", 1011, 1000, 1000, 0.01, 3}) },
		},
		"a small figure is out by more than its units": {
			RuleFigures,
			func(c *Checker) { c.FigureRead(1, "n", Reading{"x", 7, 10, 12, 0.01, 3}) },
			func(c *Checker) { c.FigureRead(1, "n", Reading{"x", 6, 10, 12, 0.01, 3}) },
		},
		"a bad client waits": {
			RuleBadClient,
			func(c *Checker) { c.BadClientServed(1, "n", "noise", 3_050_000) },
			func(c *Checker) { c.BadClientServed(1, "n", "noise", 3_050_001) },
		},
		"a process ends": {
			RuleNoCrash,
			func(c *Checker) { c.ProcessEnded("n") },
			func(c *Checker) { c.ProcessCrashed(1, "n", "exit status 2") },
		},
		"a process is not ready": {
			RuleReady,
			func(c *Checker) { c.ProcessReady(1, "n", 10_050_001, false); c.ProcessReady(1, "n", 10_050_000, true) },
			func(c *Checker) { c.ProcessReady(1, "n", 10_050_001, true) },
		},
		"memory over the limit": {
			RuleMemory,
			func(c *Checker) { c.ProcessSampled(1, "n", Resources{64, 64, 384, 384}) },
			func(c *Checker) { c.ProcessSampled(1, "n", Resources{65, 64, 384, 384}) },
		},
		"descriptors over the limit": {
			RuleDescriptors,
			func(c *Checker) { c.ProcessSampled(1, "n", Resources{64, 64, 384, 384}) },
			func(c *Checker) { c.ProcessSampled(1, "n", Resources{64, 64, 385, 384}) },
		},
		"a process that replaces another one is late": {
			RuleReplacedInTime,
			func(c *Checker) { c.ProcessReplaced(1, "n", Replacement{6_050_000, true, 0}) },
			func(c *Checker) { c.ProcessReplaced(1, "n", Replacement{6_050_001, true, 0}) },
		},
		"a process that replaces another one says no": {
			RuleReplacedInTime,
			func(c *Checker) { c.ProcessReplaced(1, "n", Replacement{1, true, 0}) },
			func(c *Checker) { c.ProcessReplaced(1, "n", Replacement{1, false, 0}) },
		},
		"a process is replaced, and a third connection fails": {
			RuleReplacedUnnoticed,
			func(c *Checker) { c.ProcessReplaced(1, "n", Replacement{1, true, 2}) },
			func(c *Checker) { c.ProcessReplaced(1, "n", Replacement{1, true, 3}) },
		},
		"an attempt after its pool was closed": {
			RuleEndpointOpen,
			func(*Checker) {},
			func(c *Checker) { c.SentWhileClosed(1, "a", "p", 1) },
		},
	}
}

// Each duty is kept by its play, and a mutation of the play breaks that duty and no other.
func TestDuties_EachCatchesItsMutation(t *testing.T) {
	for name, test := range dutyCases() {
		t.Run(name, func(t *testing.T) {
			config := Config{MaxAttempts: 2, TimeTolerance: tolerance}
			kept := New(config)
			test.kept(kept)
			if count, texts := kept.Violations(); count > 0 {
				t.Errorf("kept, and reported: %q", texts)
			}
			broken := New(config)
			test.mutated(broken)
			violations := broken.FirstViolations()
			if len(violations) != 1 || violations[0].Rule != test.rule {
				t.Errorf("broken, and reported: %+v, want one of %s", violations, test.rule)
			}
		})
	}
}

func TestChecker_EffectRunsOnce(t *testing.T) {
	c := New(Config{})
	c.EffectRan(1, "n0-1", "s-0")
	c.EffectRan(2, "n0-2", "s-0")
	if count, _ := c.Violations(); count != 0 {
		t.Errorf("%d violations by two effects", count)
	}
	c.EffectRan(3, "n0-1", "s-1")
	if violations := c.FirstViolations(); len(violations) != 1 || violations[0].Rule != RuleNoEffectTwice {
		t.Errorf("%v", violations)
	}
}
