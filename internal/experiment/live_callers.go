package experiment

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/simulation"
)

// liveRequest is one request of a caller.
type liveRequest struct {
	class      int
	retries    int
	window     int
	arrivedAt  time.Time // of the caller
	controller int
	answered   bool // or given up
	key, group string
}

// placeCalls has callers arrive until the scenario's length is over.
func (l *liveRun) placeCalls(ctx context.Context, start time.Time) {
	next := start
	for next.Sub(start) < l.variant.Length && ctx.Err() == nil {
		l.mu.Lock()
		rate := l.variant.Callers.Rate * l.burstFactor
		gap := l.random.ExpFloat64()
		l.mu.Unlock()
		if rate <= 0 {
			time.Sleep(l.variant.Length)
			return
		}
		next = next.Add(time.Duration(gap / rate * float64(time.Second)))
		time.Sleep(time.Until(next))
		l.place(l.newCaller(start))
	}
}

// newCaller draws a caller, and counts it.
func (l *liveRun) newCaller(start time.Time) *liveRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	uniform := l.random.Float64()
	r := &liveRequest{
		arrivedAt:  time.Now(),
		controller: l.random.IntN(len(l.controllers)),
		window:     min(int(time.Since(start).Seconds()), len(l.windows)-1),
		key:        strconv.FormatUint(l.random.Uint64()>>12|1, 16),
		group:      strconv.Itoa(l.pools[l.random.IntN(len(l.pools))].model.GroupNumber()),
	}
	r.class = classAt(l.variant.Class, uniform)
	w := &l.windows[r.window]
	w.Calls++
	w.OfferedWeight += l.variant.Class[r.class].PriorityWeight
	return r
}

// classAt returns the index of the class that a number drawn uniformly from [0, 1) falls on.
func classAt(classes []simulation.Class, uniform float64) int {
	total := 0.0
	for _, class := range classes {
		total += class.Fraction
	}
	for i, class := range classes {
		if uniform -= class.Fraction / total; uniform < 0 {
			return i
		}
	}
	return 0
}

// place sends a request, and gives it up after the caller's time for it.
func (l *liveRun) place(r *liveRequest) {
	class := l.variant.Class[r.class]
	timeout := time.Duration(float64(class.Deadline) * l.variant.Callers.AttemptFraction)
	l.mu.Lock()
	l.requests++
	id := fmt.Sprintf("%016x", l.requests)
	l.requestByID[id] = r
	r.answered = false
	l.mu.Unlock()
	now := l.now()
	l.checker.CallAccepted(now, id, now+timeout.Microseconds())
	l.controllers[r.controller].writeLine(
		`{"type":"setup","id":%q,"fields":{"class":%q,"left":"%d","key":%q,"extras":"dest:%s"},"sdp":"x"}`,
		id, class.Name, timeout.Milliseconds(), r.key, r.group)
	time.AfterFunc(timeout, func() { l.abandon(id, r) })
}

// abandon gives a request up that has no answer yet.
func (l *liveRun) abandon(id string, r *liveRequest) {
	l.mu.Lock()
	waiting := l.requestByID[id] == r && !r.answered
	if waiting {
		r.answered = true
	}
	l.mu.Unlock()
	if !waiting {
		return
	}
	l.checker.CallerGone(l.now(), id)
	l.controllers[r.controller].writeLine(`{"type":"release","id":%q,"fields":{},"cause":16}`, id)
	l.retry(r)
}

// readAnswers handles what a controller sends its callers, until the connection ends.
func (l *liveRun) readAnswers(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		line, err := linecodec.ReadLine(reader, nil)
		if err != nil {
			return
		}
		message, err := linecodec.Parse(line)
		if err != nil {
			continue
		}
		r := l.takeAnswer(message.ID, message.Type == "answer" || message.Type == "release")
		if r == nil {
			continue // the end of an established call, or a message that crossed the caller's release
		}
		switch message.Type {
		case "answer":
			l.checker.CallAnswered(l.now(), message.ID, "stands")
			l.established(r)
		case "release":
			l.checker.CallAnswered(l.now(), message.ID, "refused")
			l.retry(r)
		}
	}
}

// takeAnswer returns the request of an id that waits for its answer, nil for none, and marks it answered by a final
// one.
func (l *liveRun) takeAnswer(id string, final bool) *liveRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requestByID[id]
	if r == nil || r.answered {
		return nil
	}
	r.answered = r.answered || final
	return r
}

// unanswered counts the requests that wait for an answer.
func (l *liveRun) unanswered() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.requestByID {
		if !r.answered {
			n++
		}
	}
	return n
}

// established counts an established call.
func (l *liveRun) established(r *liveRequest) {
	took := time.Since(r.arrivedAt)
	class := l.variant.Class[r.class]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, took.Microseconds())
	w := &l.windows[r.window]
	if took <= class.LatencyObjective {
		w.InTime++
		w.ServedWeight += class.PriorityWeight
	} else {
		w.Late++
		w.ServedWeight += class.PriorityWeight * class.LateFactor
	}
}

// retry has a caller place another request after a backoff, or give up.
func (l *liveRun) retry(r *liveRequest) {
	r.retries++
	if r.retries > l.variant.Callers.Retries || time.Since(r.arrivedAt) >= l.variant.Class[r.class].Deadline {
		l.mu.Lock()
		l.windows[r.window].Lost++
		l.mu.Unlock()
		return
	}
	next := *r
	time.AfterFunc(l.variant.Callers.Backoff, func() { l.place(&next) })
}
