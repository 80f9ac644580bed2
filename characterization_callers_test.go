package eidertrail_test

import (
	"time"

	"eidertrail"
)

// callArrives has a new caller call, and plans the next one.
func (h *host) callArrives() {
	h.newCall(h.randomKey(), h.random.IntN(len(h.deployment.settings.Classes)), 1)
	if h.oneIn(40) { // some more come together
		for range h.random.IntN(12) {
			h.newCall(h.randomKey(), 0, 1)
		}
	}
	h.after(h.between(0, 2*h.callGap), h.callArrives)
}

// randomKey is the number dialled: none, one of a few that many dial, or one of many.
func (h *host) randomKey() uint64 {
	switch h.random.IntN(10) {
	case 0, 1:
		return 0
	case 2, 3:
		return uint64(1 + h.random.IntN(20))
	}
	return uint64(100 + h.random.IntN(h.deployment.keys))
}

func (h *host) newCall(key uint64, class, dials int) {
	h.lastCall++
	h.counts.calls++
	deadline := h.deployment.settings.Classes[class].Deadline
	call := &hostCall{dials: dials, Call: eidertrail.Call{
		ID: h.lastCall, Class: class, Key: key,
		Pool: h.random.IntN(h.deployment.pools+1) - 1, Timeout: h.between(deadline/5, deadline/2),
	}}
	if h.oneIn(50) {
		call.Timeout = h.between(0, 20*millisecond)
	}
	if h.oneIn(100) {
		call.Class = []int{-1, len(h.deployment.settings.Classes), 1000}[h.random.IntN(3)]
	}
	call.Transit = h.oneIn(h.deployment.transitOneIn)
	h.calls[call.ID] = call
	h.emit(call.Call)
	waits := call.Timeout
	if h.oneIn(12) { // leaves early
		waits = h.between(0, call.Timeout)
	}
	h.after(waits, func() { h.callerLeaves(call) })
}

// callerLeaves ends the patience of a caller whose call is not established.
func (h *host) callerLeaves(call *hostCall) {
	if call.done || call.attempt != nil && call.attempt.established {
		return
	}
	call.done = true
	h.emit(eidertrail.CallerGone{Call: call.ID})
	if attempt := call.attempt; attempt != nil { // it is cancelled
		h.after(h.between(0, 30*millisecond), func() { h.end(attempt, eidertrail.Cancelled, eidertrail.NoCause) })
	}
	h.redial(call, 0)
}

func (h *host) callRejected(id eidertrail.CallID, after time.Duration) {
	call := h.calls[id]
	if call == nil {
		h.t.Fatalf("call %d is not known", id)
	}
	call.done = true
	h.redial(call, after)
}

// redial has the caller try once more, or not.
func (h *host) redial(call *hostCall, after time.Duration) {
	class := call.Class
	if call.dials >= 3 || h.oneIn(2) || class < 0 || class >= len(h.deployment.settings.Classes) {
		return
	}
	if h.oneIn(3) { // does not wait as asked
		after = 0
	}
	h.after(min(after, 5*second)+h.between(0, 800*millisecond), func() { h.newCall(call.Key, class, call.dials+1) })
}

// loadChanges sets how quickly calls come: usual, a lull or a burst.
func (h *host) loadChanges() {
	meanGap := h.deployment.callGap
	switch h.random.IntN(6) {
	case 0:
		h.callGap = 20 * meanGap
		h.after(h.between(second, 6*second), h.loadChanges)
	case 1, 2:
		h.callGap = meanGap / 4
		h.after(h.between(300*millisecond, 2*second), h.loadChanges)
	default:
		h.callGap = meanGap
		h.after(h.between(second, 8*second), h.loadChanges)
	}
}
