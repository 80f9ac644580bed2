package trial

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"eidertrail/internal/backend/sip"
	"eidertrail/internal/invariant"
	"eidertrail/internal/trial/plan"
)

// soakSeeds are the seeds of CI's soak: between them they drain, stop, kill and replace processes and break links,
// lists, pools. soakParallel are played at a time.
var soakSeeds = []uint64{1, 4, 16, 20, 21, 25, 30, 34}

const soakParallel = 4

// The first slots of the soaks, which are played side by side: each has soakParallel of its own.
const (
	fixedSeedsSlot           = 0
	killedUpgradeSlot        = 10
	killedUpgradeAndStopSlot = 20
	blackHoleSlot            = 30
)

// builtDaemon is the daemon's program, built for the test.
func builtDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "eidertrail")
	build := exec.Command("go", "build", "-o", program, "eidertrail/cmd/eidertrail")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return program
}

// The short soak: a fixed handful of seeds against processes of the program. The long one is started by hand.
func TestSoak_FixedSeedsKeepEveryRule(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and plays for half a minute")
	}
	t.Parallel()
	wantEveryRuleKept(t, fixedSeedsSlot, soakSeeds, plan.ProcessUpgrade)
}

// Ends of calls went to a crowd's connections and were forgotten while the callers were away.
func TestSoak_EndsReachCallersThatComeBackBesideACrowd(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and plays for half a minute")
	}
	t.Parallel()
	const firstSeed, firstSlot = 1501, 160
	wantRulesKeptSideBySide(t, firstSeed, firstSlot, func(seed uint64) *plan.Plan {
		return plan.Generate(seed, []plan.Kind{plan.CallersCrowd})
	})
}

// A set-up that crossed the eviction of its connection by a crowd that comes anew at once crosses the next one too.
func TestSoak_SetUpIsAnsweredBesideACrowdThatConnectsAnewAtOnce(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and plays for half a minute")
	}
	t.Parallel()
	const seed, slotOfItsOwn = 1502, 152
	drawn := plan.Generate(seed, []plan.Kind{plan.CallersCrowd})
	for n := range drawn.Faults {
		drawn.Faults[n].Pause = 50 * time.Millisecond
	}
	wantRulesKept(t, drawn, slotOfItsOwn)
}

// A site was told over WebSocket that a set-up that had run may be sent again, and it ran twice.
func TestSoak_SitesThatFollowFinalAnswersHaveNoEffectTwice(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and plays for half a minute")
	}
	t.Parallel()
	const firstSeed, firstSlot = 2001, 170
	wantRulesKeptSideBySide(t, firstSeed, firstSlot, func(seed uint64) *plan.Plan {
		drawn := plan.Generate(seed, lostAnswers())
		drawn.Sites = true
		return drawn
	})
}

// lostAnswers are faults after which a set-up may have run, and no answer says so.
func lostAnswers() []plan.Kind {
	return []plan.Kind{plan.PoolSpoil, plan.LinkHalf, plan.LinkReset, plan.LinkBlackHole, plan.CallersRetry}
}

// wantRulesKeptSideBySide plays the trials of three seeds at a time, each at a slot of its own.
func wantRulesKeptSideBySide(t *testing.T, firstSeed uint64, firstSlot int, draw func(seed uint64) *plan.Plan) {
	t.Helper()
	for offset := range 3 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			wantRulesKept(t, draw(firstSeed+uint64(offset)), firstSlot+offset)
		})
	}
}

// wantRulesKept plays one trial at a slot that no other test has, once more where it was late, and fails the test for
// each rule that it breaks.
func wantRulesKept(t *testing.T, drawn *plan.Plan, slot int) {
	t.Helper()
	options := Options{Program: builtDaemon(t), Folder: t.TempDir(), Slot: slot}
	result, err := Play(context.Background(), drawn, options)
	if err == nil && result.Verdict() == Late {
		result, err = Play(context.Background(), drawn, options)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Errorf("seed %d: %s: %s", drawn.Seed, violation.Rule, violation)
	}
	if result.Verdict() != Passed {
		t.Errorf("seed %d: %s, own stall %v\n%s", drawn.Seed, result.Verdict(), result.Stall, result.Timeline)
	}
}

// The end of a call at a vanished pool does not reach its caller, whose process's upgrade was killed, beside a crowd.
func TestSoak_EndOfACallIsToldBesideAKilledUpgradeAndACrowd(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and plays for half a minute")
	}
	t.Parallel()
	wantEveryRuleKept(t, killedUpgradeSlot, []uint64{1313})
}

// A set-up on a new connection is lost where the second process of an upgrade is killed and the first one stops.
func TestSoak_SetUpIsAnsweredBesideAKilledUpgradeAndAStop(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and plays for half a minute")
	}
	t.Parallel()
	wantEveryRuleKept(t, killedUpgradeAndStopSlot, []uint64{1442}, plan.ProcessUpgrade)
}

// The ends of two calls were not told whose pool released them while nothing from it arrived for 0.7 s.
func TestSoak_EndOfACallIsToldAfterABlackHole(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon and plays for half a minute")
	}
	t.Parallel()
	wantEveryRuleKept(t, blackHoleSlot, []uint64{3010}, plan.ProcessUpgrade)
}

// wantEveryRuleKept plays trials, and fails the test for each that breaks a rule.
func wantEveryRuleKept(t *testing.T, slot int, seeds []uint64, required ...plan.Kind) {
	t.Helper()
	options := Options{
		Program:  builtDaemon(t),
		Folder:   t.TempDir(),
		Required: required,
		Parallel: soakParallel,
		Slot:     slot,
	}
	err := PlayAll(context.Background(), seeds, options, func(result *Result) {
		t.Logf("seed %d: %s, %d calls, own stall %v", result.Plan.Seed, result.Verdict(), result.Calls, result.Stall)
		if result.Verdict() != Passed {
			for _, violation := range result.Violations {
				t.Errorf("seed %d: %s: %s", result.Plan.Seed, violation.Rule, violation)
			}
			t.Log("again: eidertrail-lab trial --seeds ", result.Plan.Seed, "\n", result.Timeline)
		}
		if result.Calls == 0 {
			t.Errorf("seed %d: no call was placed", result.Plan.Seed)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// writeScript writes a program of the shell, and returns its path.
func writeScript(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "program")
	if err := os.WriteFile(path, []byte("#!/bin/sh\n"+text), 0o700); err != nil {
		t.Fatal(err)
	}
	return path
}

// A program whose second process ends beside the first is found by a trial of one upgrade.
func TestTrial_FindsAProgramThatCannotBeReplaced(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon")
	}
	t.Parallel()
	single := writeScript(t, "mkdir \"$TMPDIR/running\" || exit 1\nexec "+builtDaemon(t)+"\n")
	drawn := plan.Generate(1, []plan.Kind{plan.ProcessUpgrade})
	drawn.Processes, drawn.Length = 1, 2*time.Second
	drawn.Faults = []plan.Fault{{Kind: plan.ProcessUpgrade, Count: 1}}
	const slotOfItsOwn = 151
	result, err := Play(context.Background(), drawn, Options{Program: single, Folder: t.TempDir(), Slot: slotOfItsOwn})
	if err != nil {
		t.Fatal(err)
	}
	rules := result.Rules()
	for _, rule := range []invariant.Rule{invariant.RuleNoCrash, invariant.RuleReplacedInTime} {
		if !slices.Contains(rules, rule) {
			t.Errorf("%s is not among the broken rules: %v", rule, rules)
		}
	}
}

// A process that is called to drain and does not hear it is found by a trial of that one fault: the program stands in
// for one without a control address.
func TestTrial_FindsAProgramWithoutAControlAddress(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the daemon")
	}
	t.Parallel()
	daemon := builtDaemon(t)
	deaf := writeScript(t, "sed 's/\"control\":\"[^\"]*\",//' \"$RELAY_CONFIG\" > \"$RELAY_CONFIG.deaf\"\n"+
		"RELAY_CONFIG=\"$RELAY_CONFIG.deaf\" exec "+daemon+"\n")
	drawn := plan.Generate(1, []plan.Kind{plan.OperatorDrain})
	drawn.Processes, drawn.Length = 1, 2*time.Second
	drawn.Faults = []plan.Fault{{Kind: plan.OperatorDrain, Duration: time.Second}}
	const slotOfItsOwn = 150
	result, err := Play(context.Background(), drawn, Options{Program: deaf, Folder: t.TempDir(), Slot: slotOfItsOwn})
	if err != nil {
		t.Fatal(err)
	}
	if rules := result.Rules(); len(rules) != 1 || rules[0] != invariant.RuleOperatorAnswered {
		t.Errorf("broken: %v", rules)
	}
}

func TestMessageSplitter_FindsMessagesInPieces(t *testing.T) {
	first := (&sip.Message{Method: "BYE", URI: "sip:x@net", CallID: "a", CSeq: 1, CSeqMethod: "BYE"}).Append(nil)
	answer := &sip.Message{Status: 200, Reason: "X", CallID: "b", CSeq: 1, CSeqMethod: "INVITE", Body: []byte("v=0\r\n")}
	second := answer.Append(nil)
	text := string(first) + string(second)
	for size := range len(text) {
		var splitter messageSplitter
		var ids []string
		for rest := text; rest != ""; {
			piece := rest[:min(size+1, len(rest))]
			rest = rest[len(piece):]
			for _, message := range splitter.take([]byte(piece)) {
				ids = append(ids, message.CallID)
			}
		}
		if got := strings.Join(ids, " "); got != "a b" {
			t.Fatalf("in pieces of %d bytes: %q", size+1, got)
		}
	}
}

func TestMessageSplitter_GivesUpWhereFramingIsLost(t *testing.T) {
	var splitter messageSplitter
	if got := splitter.take([]byte("SIP/2.0 200 OK\r\nContent-Length: -4\r\n\r\n")); len(got) > 0 || !splitter.lost {
		t.Errorf("%v, lost: %t", got, splitter.lost)
	}
}

func TestCounts_BetweenAllowsForTheAgeOfFigures(t *testing.T) {
	times := []int64{1_000_000, 2_000_000, 3_000_000}
	if minimum, maximum := between(times, 2_400_000, 2_500_000); minimum != 1 || maximum != 2 {
		t.Errorf("%d to %d", minimum, maximum)
	}
}

func TestTimeline_DrawsAColumnAParty(t *testing.T) {
	line := newTimeline(time.Now())
	line.add("n0", "ready")
	line.add("list", "s-1 up")
	line.add("n1", "setup 01 to s-1")
	text := render(line.about([]string{"s-1"}))
	lines := strings.Count(text, "\n")
	if lines != 3 || !strings.Contains(text, "s-1 up") || strings.Contains(text, "ready") {
		t.Errorf("%s", text)
	}
}
