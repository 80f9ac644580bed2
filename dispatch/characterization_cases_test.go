package dispatch_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing/synctest"
	"time"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/routing"
)

// scenario is a site's settings and what narrows the choice of its controller.
type scenario struct {
	name     string
	settings eidertrail.Settings
	routing  *routing.Config // nil: off
	toggled  bool            // routing is turned off and on again
	quotas   bool            // budgets are divided by a fleet
	rate     float64         // set-ups a second
}

func otherSettings() eidertrail.Settings {
	s := baseSettings()
	s.Nodes, s.Index, s.MaxAttempts = 4, 1, 1
	s.ReleaseWait, s.RetransmitInterval, s.SlowStartWindow = 500*time.Millisecond, 400*time.Millisecond, 15*time.Second
	return s
}

// routingConfig has a spill share and numbers of agents whose products add up to the same sum in every order.
func routingConfig() *routing.Config {
	return &routing.Config{
		Zone: "batumi", PriorityLevels: map[string][][]string{"batumi": {{"tbilisi"}, {"kutaisi"}}},
		SpillBudget: 0.5, SpillDelay: 100 * millisecond, Window: 10 * second, EjectionThreshold: 0.5, MinSamples: 6,
		EjectionTime: 3 * second, MaxEjectionTime: 20 * second, FlapWindow: 30 * second,
		SlowStartWindow: 5 * second, SlowStartCapacity: 0.25, Classes: 4, Nodes: 1,
	}
}

func scenarios() []scenario {
	classTiers := routingConfig()
	classTiers.ClassPriorityLevels = map[int]map[string][][]string{1: {}, 2: {"batumi": {{"kutaisi", "tbilisi"}}}}
	return []scenario{
		{name: "routing off", settings: baseSettings(), rate: 16},
		{name: "routing off, another site", settings: otherSettings(), rate: 20},
		{name: "routing on", settings: baseSettings(), routing: routingConfig(), rate: 14},
		{name: "routing on, another site", settings: otherSettings(), routing: routingConfig(), rate: 14},
		{name: "tiers of classes", settings: baseSettings(), routing: classTiers, rate: 14},
		{name: "routing toggled", settings: baseSettings(), routing: routingConfig(), toggled: true, rate: 14},
		{name: "budgets, routing off", settings: otherSettings(), quotas: true, rate: 20},
		{name: "budgets, routing on", settings: baseSettings(), routing: routingConfig(), quotas: true, rate: 14},
	}
}

// tableCases are the runs of a call table.
func tableCases() []tableCase {
	return []tableCase{
		{"a call stands until its pool ends it", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.sleep(20 * time.Millisecond)
			r.answer("c1")
			r.sleep(time.Second)
			r.endCall("c1", 16)
			r.release("c1", 16)
		}},
		{"a call is released by its caller, twice", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.answer("c1")
			r.release("c1", 31)
			r.release("c1", 31)
			r.release("nobody's", 16)
			r.setup("x", "c1")
		}},
		{"the callers are told of all ends", dispatch.CallTableConfig{NotifyAllEnds: true}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.answer("c1")
			r.release("c1", 31)
		}},
		{"a set-up is cancelled", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.release("c1", 16)
			r.release("c1", 16)
		}},
		{"a cancel comes before its set-up, an id names one call", dispatch.CallTableConfig{
			UniqueIDs: true,
		}, func(r *tableRecorder) {
			r.connect("x")
			r.release("c1", 16)
			r.setup("x", "c1")
			r.setup("x", "c1")
			r.setup("x", "c2")
			r.answer("c2")
			r.endCall("c2", 17)
			r.setup("x", "c2")
			r.release("c2", 16)
			r.release("a b", 16)
		}},
		{"ids in use", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.connect("y")
			r.setup("x", "c1")
			r.setup("x", "c1")
			r.setup("y", "c1")
			r.answer("c1")
			r.setup("y", "c1", class("fax"))
			r.endCall("c1", 16)
			r.setup("y", "c1")
			r.answer("c1")
		}},
		{"set-ups that make no sense", dispatch.CallTableConfig{MaxCalls: 2}, func(r *tableRecorder) {
			r.connect("x")
			for _, id := range []string{"", "a b", strings.Repeat("a", 65), strings.Repeat("a", 64)} {
				r.setup("x", id)
			}
			r.setup("x", "c1", class("fax"))
			r.setup("x", "c1", timeout(-1))
			r.setup("x", "c1", timeout(2e9))
			r.setup("x", "c1", timeout(math.NaN()))
			r.setup("x", "c1", number("1\r\nBYE"))
			r.setup("x", "c1", func(s *dispatch.SetupRequest) { s.SDP = strings.Repeat("v", 15<<10+1) })
			r.setup("x", "c1", number(""))
			r.setup("x", "c2")
		}},
		{"an attempt ends, the next is answered", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.endAttempt("c1", "no agent", dispatch.NoAgent)
			r.answer("c1")
			r.endCall("c1", 16)
		}},
		{"both attempts end without an agent", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.endAttempt("c1", "no agent", dispatch.NoAgent)
			r.endAttempt("c1", "no agent", dispatch.NoAgent)
			r.sleep(3 * time.Second)
		}},
		{"pools make nothing of the set-ups of a connection", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			for i := range 6 {
				id := fmt.Sprintf("c%d", i)
				r.setup("x", id, timeout(2000))
				for r.isInFlight(id) {
					r.endAttempt(id, "errored", dispatch.Errored)
					r.sleep(500 * time.Millisecond)
				}
				r.sleep(10 * time.Second)
			}
		}},
		{"a time-out, then the release wait", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1", timeout(2000))
			r.endAttempt("c1", "timed out", dispatch.TimedOut)
			r.sleep(250 * time.Millisecond)
			r.sleep(100 * time.Millisecond)
			r.sleep(3 * time.Second)
		}},
		{"a reset of what must not be repeated", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1", class("order"))
			r.endAttempt("c1", "reset", dispatch.Reset)
			r.sleep(3 * time.Second)
		}},
		{"nobody answers", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1", timeout(500))
			r.sleep(479 * time.Millisecond)
			r.sleep(2 * time.Millisecond)
			r.setup("x", "c2", timeout(0))
			r.setup("x", "c3", timeout(20))
			r.sleep(time.Second)
		}},
		{"a connection goes", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.connect("y")
			r.setup("x", "c1")
			r.answer("c1")
			r.setup("x", "c2")
			r.disconnect("x")
			r.endCall("c1", 16)
			r.sleep(390 * time.Millisecond)
			r.sleep(20 * time.Millisecond)
		}},
		{"an end that crossed the closing is told again", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.connect("y")
			r.markEstablished("y")
			for _, id := range []string{"c1", "c2"} {
				r.setup("x", id)
				r.answer(id)
				r.endCall(id, 16)
				r.sleep(167 * time.Millisecond)
			}
			r.disconnect("x")
		}},
		{"ends wait for a connection", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.CallEnded("earlier", 16)
			r.settle("a call of before a restart is over")
			r.connect("x")
			r.sleep(399 * time.Millisecond)
			r.sleep(2 * time.Millisecond)
			r.setup("x", "c1")
			r.answer("c1")
			r.refuse("x")
			r.endCall("c1", 16)
			r.CallEnded("c1", 16)
			r.settle("its pool ends c1 again")
			r.connect("y")
			r.markEstablished("y")
			r.RedeliverEnd("c1", 16)
			r.settle("c1's end could not be written")
		}},
		{"an answer is not taken", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.refuse("x")
			r.answer("c1")
			r.release("c1", 16)
		}},
		{"an answer is not written whole", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.AnswerLost("c1")
			r.settle("c1's answer, which did not come, was not written")
			r.answer("c1")
			r.AnswerLost("c1")
			r.settle("c1's answer was not written")
			r.AnswerLost("c1")
			r.settle("c1's answer was not written")
		}},
		{"all is given up", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c3")
			r.answer("c3")
			r.setup("x", "c4", class("order"))
			r.setup("x", "c1")
			r.setup("x", "c2")
			r.AbortPending()
			r.settle("the desk gives up")
			r.setup("x", "c5")
			r.endCall("c3", 16)
		}},
		{"a connection retires", dispatch.CallTableConfig{}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1")
			r.settle("x retires: %s", yesOrNo(r.Retire(r.callers["x"])))
			r.answer("c1")
			r.settle("x retires: %s", yesOrNo(r.Retire(r.callers["x"])))
			r.settle("x retires: %s", yesOrNo(r.Retire(r.callers["x"])))
			r.setup("x", "c2")
			r.connect("y")
			r.endCall("c1", 16)
			r.sleep(400 * time.Millisecond)
		}},
		{"pools know the calls by other names", dispatch.CallTableConfig{
			CallID: func(id string) string { return "site-" + id },
		}, func(r *tableRecorder) {
			r.connect("x")
			r.setup("x", "c1", class("text"), number("desk.seven"))
			r.answer("site-c1")
			r.endCall("site-c1", 41)
		}},
		{"an unproven connection floods", dispatch.CallTableConfig{MaxCalls: 1000}, func(r *tableRecorder) {
			r.connect("x")
			taken, rejected := 0, map[string]int{}
			for i := range 70 {
				request := dispatch.SetupRequest{
					ID: fmt.Sprintf("c%d", i), Class: "voice", TimeoutMillis: 1000, ReceivedAt: r.dispatcher.Now(),
				}
				if err := r.Setup(r.callers["x"], request); err != nil {
					rejected[err.Error()]++
				} else {
					taken++
				}
			}
			time.Sleep(2 * time.Second)
			synctest.Wait()
			r.takeMessages() // which of so many gets a place depends on the order of goroutines
			for _, text := range slices.Sorted(maps.Keys(rejected)) {
				r.settle("%d refused: %s", rejected[text], text)
			}
			r.settle("%d taken", taken)
		}},
	}
}
