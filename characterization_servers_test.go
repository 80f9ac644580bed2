package eidertrail_test

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"eidertrail"
)

// condition is how a server does at present.
type condition int

const (
	healthy condition = iota
	slow
	silent
	faulty
	linesBusy
	noAgents
	overloaded
	refusing
	resetting
	conditions // their number
)

// hostServer is a stand-in call server.
type hostServer struct {
	eidertrail.Server
	condition  condition
	work       time.Duration // of an attempt
	agents     int
	busyAgents int
	inFlight   int
	reports    bool
}

// addServer starts a server.
func (h *host) addServer(pool int, startedAt time.Duration) *hostServer {
	server := &hostServer{
		Server: eidertrail.Server{ID: eidertrail.ServerID(fmt.Sprintf("s-%d", h.created)), Pool: pool, StartedAt: startedAt},
		work:   h.between(3*millisecond, 40*millisecond), agents: h.deployment.agents + h.random.IntN(20),
		reports: h.deployment.agents > 0 && !h.oneIn(8),
	}
	h.created++
	h.servers = append(h.servers, server)
	h.byID[server.ID] = server
	return server
}

// conditionChanges puts a server into another condition.
func (h *host) conditionChanges() {
	server := h.servers[h.random.IntN(len(h.servers))]
	if server.condition = healthy; h.oneIn(3) {
		server.condition = condition(h.random.IntN(int(conditions)))
	}
	h.after(h.between(200*millisecond, 1500*millisecond), h.conditionChanges)
}

// send has the server take an attempt, and schedules what comes of it.
func (h *host) send(send eidertrail.Send) {
	call, server := h.calls[send.Call], h.byID[send.Server]
	if call == nil || server == nil || call.done || call.attempt != nil {
		h.t.Fatalf("call %d cannot be sent to %q", send.Call, send.Server)
	}
	attempt := &hostAttempt{call: call, server: server, number: call.attempts, sentAt: h.now}
	call.attempts++
	call.attempt = attempt
	server.inFlight++
	limit := cmp.Or(send.Timeout, call.Timeout)
	took := server.work + time.Duration(server.inFlight-1)*server.work/2 + h.between(0, 4*millisecond)
	how := server.condition
	if h.oneIn(25) {
		how = condition(h.random.IntN(int(conditions)))
	}
	fail := func(status eidertrail.Status, cause eidertrail.Cause) {
		h.after(min(took, limit), func() { h.end(attempt, status, cause) })
	}
	switch how {
	case healthy, slow:
		if how == slow {
			took *= time.Duration(4 + h.random.IntN(60))
		}
		if server.agents > 0 && server.busyAgents >= server.agents {
			fail(eidertrail.Full, eidertrail.NoAgent)
			return
		}
		if took > limit {
			h.after(limit, func() { h.end(attempt, eidertrail.TimedOut, eidertrail.NoCause) })
			return
		}
		h.after(took, func() { h.answer(attempt) })
	case silent:
		h.after(limit, func() { h.end(attempt, eidertrail.TimedOut, eidertrail.NoCause) })
	case faulty:
		fail(eidertrail.Error, eidertrail.NoCause)
	case linesBusy:
		fail(eidertrail.Error, eidertrail.LinesBusy)
	case noAgents:
		fail(eidertrail.Full, eidertrail.NoAgent)
	case overloaded:
		causes := []eidertrail.Cause{eidertrail.ProcessorFull, eidertrail.ProcessorFull, eidertrail.Returned}
		fail(eidertrail.Full, causes[h.random.IntN(len(causes))])
	case refusing:
		took /= 8
		statuses := []eidertrail.Status{eidertrail.ConnectFailed, eidertrail.ConnectFailed, eidertrail.NotSent}
		fail(statuses[h.random.IntN(len(statuses))], eidertrail.NoCause)
	case resetting:
		fail(eidertrail.Reset, eidertrail.NoCause)
	}
}

// took is how long the attempt has taken, now and then an invalid figure.
func (h *host) took(attempt *hostAttempt) time.Duration {
	if h.oneIn(60) {
		return []time.Duration{0, 1, -second, millisecond, 30 * second, time.Hour}[h.random.IntN(6)]
	}
	return h.now - attempt.sentAt
}

// answer establishes the call; its outcome follows when it ends.
func (h *host) answer(attempt *hostAttempt) {
	if attempt.ended || attempt.established {
		return
	}
	server := attempt.server
	if h.oneIn(30) { // it ends without an answer before
		h.end(attempt, eidertrail.Ended, eidertrail.NoCause)
		return
	}
	attempt.established = true
	server.busyAgents++
	h.counts.answered++
	answered := eidertrail.Answered{Call: attempt.call.ID, Attempt: attempt.number, Took: h.took(attempt)}
	h.emit(answered)
	h.remember(answered)
	how := eidertrail.Ended
	if h.oneIn(15) {
		how = []eidertrail.Status{eidertrail.Reset, eidertrail.Error, eidertrail.Cancelled}[h.random.IntN(3)]
	}
	h.after(h.between(0, 2*h.deployment.callLength), func() { h.end(attempt, how, eidertrail.NoCause) })
	if h.oneIn(10) { // the caller hangs up
		h.after(h.between(0, h.deployment.callLength), func() { h.emit(eidertrail.CallerGone{Call: attempt.call.ID}) })
	}
}

// end reports the one outcome of an attempt.
func (h *host) end(attempt *hostAttempt, status eidertrail.Status, cause eidertrail.Cause) {
	if attempt.ended {
		return
	}
	attempt.ended = true
	call, server := attempt.call, attempt.server
	call.attempt = nil
	server.inFlight--
	outcome := eidertrail.Outcome{
		Call: call.ID, Attempt: attempt.number, Status: status, Cause: cause, Took: h.took(attempt),
	}
	if attempt.established {
		server.busyAgents--
	}
	outcome.Closed = call.done || attempt.established || status == eidertrail.Ended || h.oneIn(20)
	if outcome.Closed && !call.done && h.oneIn(50) { // an established call is set up again
		outcome.Closed = false
	}
	call.done = call.done || outcome.Closed
	if cause == eidertrail.ProcessorFull && !h.oneIn(3) {
		outcome.RetryAfter = h.between(0, 4*second)
	}
	if h.oneIn(200) {
		outcome.Status, outcome.Cause = eidertrail.Status(9), eidertrail.Cause(9)
	}
	if server.reports && h.oneIn(3) {
		report := h.reportOf(server)
		outcome.Report = &report
	}
	h.emit(outcome)
	h.remember(outcome)
}

// remember keeps a few of the latest answers and outcomes, to be reported again.
func (h *host) remember(event eidertrail.Event) {
	if len(h.recentEnds) < 32 {
		h.recentEnds = append(h.recentEnds, event)
		return
	}
	h.recentEnds[h.random.IntN(len(h.recentEnds))] = event
}

func (h *host) reportOf(server *hostServer) eidertrail.Report {
	r := eidertrail.Report{
		Server: server.ID,
		Free:   float64(max(0, server.agents-server.busyAgents)),
		Agents: float64(server.agents),
	}
	if server.condition == noAgents {
		r.Free = 0
	}
	switch h.random.IntN(30) {
	case 0:
		r.Free = -1
	case 1:
		r.Agents = -1
	case 2:
		r.Free = []float64{math.NaN(), math.Inf(1), 0.5, 1e9}[h.random.IntN(4)]
	}
	return r
}

// serversReport has some servers report their load.
func (h *host) serversReport() {
	for _, server := range h.servers {
		if server.reports && h.oneIn(2) {
			h.emit(h.reportOf(server))
		}
	}
	h.after(h.between(100*millisecond, second), h.serversReport)
}
