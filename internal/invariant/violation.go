package invariant

import "fmt"

// Rule is a rule that holds on the wire.
type Rule int

// The rules.
const (
	RuleAcceptedOnce      Rule = iota // a call is accepted once
	RuleSingleAttempt                 // one attempt of a call is in flight at a time
	RuleMaxAttempts                   // a call has a maximum number of attempts
	RuleReleaseAwaited                // a failed attempt is released before the next
	RuleEndpointOpen                  // nothing is sent to a pool that drains or is removed
	RuleNotAfterAnswer                // nothing is sent for a call that has its final answer
	RuleNotAfterCaller                // nothing is sent for a caller that has left
	RuleSlowStartBudget               // a pool in slow start gets no more than it bears
	RuleSlowStartWatch                // not checked: too many pools are in slow start at a time
	RuleAnswerExpected                // a final answer belongs to a call that was accepted
	RuleSingleAnswer                  // a call gets one final answer
	RuleCallerPresent                 // a caller that has left gets no answer
	RuleAnswerInTime                  // the final answer arrives by the deadline
	RuleAnswered                      // every call gets a final answer
	RuleNotLost                       // no connection ends with a call on it that was accepted and has no answer
	RuleNotForged                     // an answer carries what a pool made for the call
	RuleEndNotified                   // the caller is told in time that its call is over
	RuleDrainedNotReady               // a process that an operator drains does not say that it is ready
	RuleDrainedEmpty                  // it holds no idle connection, and none with a recent set-up
	RuleResumed                       // it is ready again in time after the drain
	RuleOperatorAnswered              // each call of an operator is answered in time
	RuleFigures                       // the figures agree with what others counted
	RuleBadClient                     // a bad client gets a refusal, an error or a close in time
	RuleNoCrash                       // no process ends unasked
	RuleReady                         // a process is ready in time after its start
	RuleMemory                        // no process holds more memory than its limit
	RuleDescriptors                   // no process holds more descriptors than its limit
	RuleReplacedInTime                // a process that replaces another one says yes in time
	RuleReplacedUnnoticed             // callers hardly notice that
	RuleNoEffectTwice                 // what must not be repeated is carried out once
)

// String names the rule.
func (r Rule) String() string {
	names := map[Rule]string{
		RuleAcceptedOnce:    "accepted once",
		RuleSingleAttempt:   "single attempt in flight",
		RuleMaxAttempts:     "maximum number of attempts",
		RuleReleaseAwaited:  "release awaited",
		RuleEndpointOpen:    "endpoint open",
		RuleNotAfterAnswer:  "no attempt after the answer",
		RuleNotAfterCaller:  "no attempt after the caller left",
		RuleSlowStartBudget: "slow start budget",
		RuleSlowStartWatch:  "slow start watched",
		RuleAnswerExpected:  "answer expected",
		RuleSingleAnswer:    "single answer",
		RuleCallerPresent:   "no answer after the caller left",
		RuleAnswerInTime:    "answer in time",
		RuleAnswered:        "answered",

		RuleNotLost:          "not lost",
		RuleNotForged:        "not forged",
		RuleEndNotified:      "end told",
		RuleDrainedNotReady:  "drained, not ready",
		RuleDrainedEmpty:     "drained, empty",
		RuleResumed:          "ready after the drain",
		RuleOperatorAnswered: "operator answered",
		RuleFigures:          "figures true",
		RuleBadClient:        "bad client served",
		RuleNoCrash:          "no crash",
		RuleReady:            "ready in time",
		RuleMemory:           "memory",
		RuleDescriptors:      "descriptors",

		RuleReplacedInTime:    "replaced in time",
		RuleReplacedUnnoticed: "replaced unnoticed",
		RuleNoEffectTwice:     "no effect twice",
	}
	if name, ok := names[r]; ok {
		return name
	}
	return fmt.Sprintf("Rule(%d)", int(r))
}

// Violation is a violation of a rule by a call.
type Violation struct {
	Rule   Rule
	At     int64  // µs
	CallID string // "-" for none
	Detail string
}

// String is the line that reports show.
func (v Violation) String() string {
	return fmt.Sprintf("%.3f s: call %s: %s", seconds(v.At), v.CallID, v.Detail)
}

// violated returns a violation of a rule.
func violated(rule Rule, at int64, id, format string, args ...any) *Violation {
	return &Violation{Rule: rule, At: at, CallID: id, Detail: fmt.Sprintf(format, args...)}
}

func seconds(micros int64) float64 { return float64(micros) / 1e6 }
