package main

import (
	"bufio"
	"cmp"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/testing/fakeplatform"
)

// load is callers of one controller's process: so many set-ups a second on one connection, whose answers are
// checked: one final answer for each, and none lost.
type load struct {
	t       *testing.T
	address string
	conn    net.Conn
	rate    atomic.Int64
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	finals  map[string]string // by call: "" none yet, "answer", "ended" or "refused"
	broken  []string
	closed  string // how the connection ended
}

// newLoad is callers of the process at address; they connect when they place their first call.
func newLoad(t *testing.T, address string) *load {
	t.Helper()
	return &load{t: t, address: address, stop: make(chan struct{}), finals: map[string]string{}}
}

// at has so many calls a second placed from now on.
func (l *load) at(rate int64) {
	l.t.Helper()
	if err := l.place(rate); err != nil {
		l.t.Fatal(err)
	}
}

func (l *load) place(rate int64) error {
	l.rate.Store(rate)
	if l.conn != nil {
		return nil
	}
	c, err := net.Dial("tcp", l.address)
	if err != nil {
		return err
	}
	l.conn = c
	l.wg.Add(2)
	go l.write()
	go l.read()
	l.t.Cleanup(func() { l.end(); c.Close(); l.wg.Wait() })
	return nil
}

// end stops placing calls.
func (l *load) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
}

func (l *load) write() {
	defer l.wg.Done()
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	owed, last, n := 0.0, time.Now(), 0
	for {
		select {
		case <-l.stop:
			return
		case now := <-tick.C:
			owed += now.Sub(last).Seconds() * float64(l.rate.Load())
			last = now
		}
		for ; owed >= 1; owed-- {
			n++
			id := fmt.Sprintf("%016x", n)
			l.mu.Lock()
			l.finals[id] = ""
			l.mu.Unlock()
			fields := fmt.Sprintf(`{"class":"voice","left":"1500","key":"%x"}`, n)
			_, err := fmt.Fprintf(l.conn, `{"type":"setup","id":%q,"fields":%s,"sdp":"x"}`+"\n", id, fields)
			if err != nil {
				l.mu.Lock()
				delete(l.finals, id) // it was not taken
				l.mu.Unlock()
				return
			}
		}
	}
}

func (l *load) read() {
	defer l.wg.Done()
	r := bufio.NewReader(l.conn)
	for {
		text, err := linecodec.ReadLine(r, nil)
		if err != nil {
			l.mu.Lock()
			l.closed = fmt.Sprintf("%v at %s", err, time.Now().UTC().Format("15:04:05.000"))
			l.mu.Unlock()
			return
		}
		message, err := linecodec.Parse(text)
		l.mu.Lock()
		was, known := l.finals[message.ID]
		switch {
		case err != nil || !known:
			l.broken = append(l.broken, fmt.Sprintf("%s: %v", text, err))
		case message.Type == "answer" && was == "":
			l.finals[message.ID] = "answer"
		case message.Type == "release" && was == "":
			l.finals[message.ID] = "refused"
		case message.Type == "release" && was == "answer":
			l.finals[message.ID] = "ended"
		case message.Type == "answer" || message.Type == "release":
			l.broken = append(l.broken, fmt.Sprintf("call %s: %s after %s", message.ID, message.Type, was))
		}
		l.mu.Unlock()
	}
}

// counts tells how many calls were placed, stood and were turned away, and how many have no answer.
func (l *load) counts() (placed, established, rejected, open int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.finals {
		switch f {
		case "":
			open++
		case "refused":
			rejected++
		default:
			established++
		}
	}
	return len(l.finals), established, rejected, open
}

// check ends the load, waits for the last answers, and fails the test where a call has none or more than one.
func (l *load) check() {
	l.t.Helper()
	l.end()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if _, _, _, open := l.counts(); open == 0 {
			break
		} else if time.Since(began) > 5*time.Second {
			l.mu.Lock()
			l.t.Errorf("%d of %d calls have no final answer; connection: %s", open, len(l.finals), cmp.Or(l.closed, "open"))
			l.mu.Unlock()
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.broken) > 0 {
		l.t.Errorf("rules broken: %s", strings.Join(l.broken[:min(len(l.broken), 5)], "; "))
	}
}

// metered is a stand-in pool on loopback that answers what its processor takes, ends calls at once, and notes
// which controller sent it what, and when.
type metered struct {
	fakeplatform.Pool
	address string
	proc    fakeplatform.Processor
	mu      sync.Mutex
	arrived []arrival
}

type arrival struct {
	at   time.Time
	from string // the controller's name
}

// newMetered serves a pool; it tells state every 200 ms.
func newMetered(t *testing.T, work time.Duration, state string) *metered {
	t.Helper()
	pool := &metered{proc: fakeplatform.Processor{
		ServiceTime: work, MaxWait: time.Second, SlowStartCapacity: 0.3, SlowStartWindow: 10 * time.Second,
		OverloadMultiple: 3, OverloadWindow: 3 * time.Second,
	}}
	pool.OnRequest = func(request fakeplatform.Request) {
		if request.Method != "INVITE" {
			return
		}
		now := time.Now()
		pool.mu.Lock()
		pool.arrived = append(pool.arrived, arrival{now, strings.TrimPrefix(request.Get("via"), "SIP/2.0/TCP ")})
		pool.mu.Unlock()
		after, full := pool.proc.Arrive(now)
		if full {
			request.Answer(503, "swamped", "")
			return
		}
		time.AfterFunc(after, func() {
			request.Answer(200, "", "v=0\r\n")
			request.Bye(16)
		})
	}
	pool.address = pool.Listen(t)
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(200 * time.Millisecond):
				pool.NotifyAll(state)
			}
		}
	})
	t.Cleanup(func() { close(done); wg.Wait() })
	return pool
}

// maxRate is the most set-ups within any second since then, from the controllers named or, without names, from all.
func (p *metered) maxRate(since time.Time, names ...string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	highest, first := 0, 0
	var at []time.Time
	for _, a := range p.arrived {
		if a.at.Before(since) || len(names) > 0 && !strings.Contains(strings.Join(names, " ")+" ", a.from+" ") {
			continue
		}
		at = append(at, a.at)
		for a.at.Sub(at[first]) > time.Second {
			first++
		}
		highest = max(highest, len(at)-first)
	}
	return highest
}

// roster is the configuration's list of just this pool.
func (p *metered) roster(startedAt time.Time) string {
	ms := int64(0)
	if !startedAt.IsZero() {
		ms = startedAt.UnixMilli()
	}
	target := fmt.Sprintf(`{"uid":"p1","endpoint":%q,"pod_group":0,"state":"up","boot_ms":%d}`, p.address, ms)
	return fmt.Sprintf(`"known":{"no":1,"items":[{"no":1,"roster":{"all":true,"targets":[%s]}}]}`, target)
}
