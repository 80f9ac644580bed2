package trial

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"eidertrail/internal/backend/sip"
)

// firstFailure is the first status of a response that ends a set-up without a call, and noAnswerStatus one that says
// that the set-up broke on its way.
const (
	firstFailure  = 300
	statusTimeout = 504
)

// tap observes what passes between a process and a pool, message by message.
type tap struct {
	world   *world
	process *process
	pool    *pool

	mu    sync.Mutex
	conns map[uint64]*tappedConn
}

// tappedConn is a connection as the tap sees it.
type tappedConn struct {
	sent, delivering, delivered messageSplitter

	lastSent int64           // when the latest bytes of the process arrived, µs
	inFlight map[string]bool // attempts that have no end yet
}

func newTap(w *world, process *process, p *pool) *tap {
	return &tap{world: w, process: process, pool: p, conns: map[uint64]*tappedConn{}}
}

func (t *tap) conn(number uint64) *tappedConn {
	c := t.conns[number]
	if c == nil {
		c = &tappedConn{inFlight: map[string]bool{}}
		t.conns[number] = c
	}
	return c
}

// Sent implements faultproxy.Tap.
func (t *tap) Sent(number uint64, bytes []byte, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conn(number)
	messages := c.sent.take(bytes)
	arrived := t.world.timeOf(at)
	for n, message := range messages {
		sent := sendTime{earliest: c.lastSent, latest: arrived}
		if n == len(messages)-1 && len(c.sent.bytes) == 0 {
			sent.earliest = arrived
		}
		t.sentMessage(c, message, sent)
	}
	c.lastSent = arrived
}

// sendTime bounds when a message was sent, µs. The last one of a read is dated; one before it was sent after the read
// before, and no later than the last.
type sendTime struct{ earliest, latest int64 }

// sentMessage takes a message of the process. The caller holds mu.
func (t *tap) sentMessage(conn *tappedConn, message *sip.Message, sent sendTime) {
	checker, now, id := t.world.checker, sent.latest, message.CallID
	switch message.Method {
	case "INVITE":
		uid, _ := t.pool.identity()
		t.world.timeline.add(t.process.name, fmt.Sprintf("INVITE %s to %s", id, uid))
		t.process.currentCounts().sent(t.world.now())
		checker.AttemptSentBetween(sent.earliest, sent.latest, id, t.process.incarnation(), uid)
		late := t.process.list.closedFor(now, uid) - drainGraceMicros - timeTolerance.Microseconds()
		if late > 0 {
			checker.SentWhileClosed(now, id, uid, late)
		}
		conn.inFlight[id] = true
	case "CANCEL", "BYE":
		t.world.timeline.add(t.process.name, message.Method+" "+id)
		t.endAttempt(conn, id, sent.earliest, true)
	}
}

// drainGraceMicros is how long after it was notified a process may send to a pool that drains or is removed.
const drainGraceMicros = 500_000

// Delivering implements faultproxy.Tap. An attempt ends when its end is written by the pool, which is before the
// process can act on it.
func (t *tap) Delivering(number uint64, bytes []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conn(number)
	for _, message := range c.delivering.take(bytes) {
		if message.CSeqMethod == "INVITE" && message.Status >= statusOK {
			t.world.timeline.add(fmt.Sprintf("pool %d", t.pool.number), fmt.Sprintf("%d %s", message.Status, message.CallID))
			t.endAttempt(c, message.CallID, t.world.now(), message.Status == statusTimeout)
		}
	}
}

// Delivered implements faultproxy.Tap.
func (t *tap) Delivered(number uint64, bytes []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, message := range t.conn(number).delivered.take(bytes) {
		if message.Method == "BYE" {
			t.world.timeline.add(fmt.Sprintf("pool %d", t.pool.number), "BYE "+message.CallID)
			t.world.checker.CallReleased(t.world.now(), message.CallID)
		}
	}
}

// Ended implements faultproxy.Tap.
func (t *tap) Ended(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.conn(number)
	for id := range c.inFlight {
		t.endAttempt(c, id, t.world.now(), true)
	}
	delete(t.conns, number)
}

// endAttempt ends an attempt that is in flight. The caller holds mu.
func (t *tap) endAttempt(c *tappedConn, id string, at int64, awaitRelease bool) {
	if c.inFlight[id] {
		delete(c.inFlight, id)
		t.world.checker.AttemptEnded(at, id, awaitRelease)
	}
}

// messageSplitter finds messages in the bytes of one direction of a connection.
type messageSplitter struct {
	bytes []byte
	lost  bool // where the next message begins is not known
}

// take adds bytes, and returns the messages that are complete.
func (s *messageSplitter) take(more []byte) []*sip.Message {
	if s.lost {
		return nil
	}
	s.bytes = append(s.bytes, more...)
	var messages []*sip.Message
	for {
		reader := bytes.NewReader(s.bytes)
		buffered := bufio.NewReader(reader)
		if !strings.Contains(string(s.bytes), "\r\n\r\n") {
			return messages
		}
		message, err := sip.Read(buffered)
		if errors.Is(err, sip.ErrFraming) {
			s.lost = true
			return messages
		}
		consumed := len(s.bytes) - reader.Len() - buffered.Buffered()
		if err != nil && !errors.Is(err, sip.ErrMalformed) { // not complete yet
			return messages
		}
		if message != nil && err == nil {
			messages = append(messages, message)
		}
		s.bytes = s.bytes[consumed:]
	}
}
