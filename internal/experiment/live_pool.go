package experiment

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"eidertrail/internal/backend/sip"
	"eidertrail/internal/simulation"
)

const (
	// outOfDialogID is the Call-ID of load reports, which belong to no call.
	outOfDialogID = "0000000000000000"
	// The status codes of answers (RFC 3261, section 21).
	statusOK, statusServerError, statusUnavailable = 200, 500, 503
	// The CSeq numbers of set-ups and of the pool's own requests.
	setupCSeq, poolCSeq = 1, 2
)

// livePool is a fake pool: a simulated pool behind a TCP listener.
type livePool struct {
	address string

	mu          sync.Mutex
	model       *simulation.PoolModel
	connections map[net.Conn]bool
}

// startPool serves a pool until ctx is done.
func (l *liveRun) startPool(ctx context.Context, model *simulation.PoolModel) (*livePool, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	pool := &livePool{model: model, address: listener.Addr().String(), connections: map[net.Conn]bool{}}
	l.pools = append(l.pools, pool)
	context.AfterFunc(ctx, func() {
		listener.Close()
		pool.closeConnections()
	})
	l.tasks.Go(func() { l.accept(pool, listener) })
	if model.ReportInterval > 0 {
		l.tasks.Go(func() { pool.reportLoad(ctx) })
	}
	return pool, nil
}

// accept serves the connections of a listener until it is closed.
func (l *liveRun) accept(pool *livePool, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		pool.mu.Lock()
		pool.connections[conn] = true
		pool.mu.Unlock()
		l.tasks.Go(func() { l.serve(pool, conn) })
	}
}

func (p *livePool) closeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		conn.Close()
	}
}

func (p *livePool) forget(conn net.Conn) {
	conn.Close()
	p.mu.Lock()
	delete(p.connections, conn)
	p.mu.Unlock()
}

// reportLoad reports the pool's free agents on all connections, periodically until ctx is done.
func (p *livePool) reportLoad(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.model.ReportInterval):
		}
		p.mu.Lock()
		state := fmt.Sprintf("idle:%d;circuits:%d", p.model.FreeAgents(), p.model.Agents)
		connections := make([]net.Conn, 0, len(p.connections))
		for conn := range p.connections {
			connections = append(connections, conn)
		}
		p.mu.Unlock()
		for _, conn := range connections {
			sendRequest(conn, "NOTIFY", outOfDialogID, sip.Header{Name: "X-State", Value: state})
		}
	}
}

// sendRequest sends a request of a pool.
func sendRequest(conn net.Conn, method, id string, header sip.Header) {
	send(conn, &sip.Message{
		Method:     method,
		URI:        "sip:pool@net",
		CallID:     id,
		CSeq:       poolCSeq,
		CSeqMethod: method,
		Headers:    []sip.Header{header},
	})
}

// send writes a message. The end of the connection is left for its reader to find.
func send(conn net.Conn, message *sip.Message) { _, _ = conn.Write(message.Append(nil)) }

// cancelledCalls are the calls of one connection that were cancelled.
type cancelledCalls struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (c *cancelledCalls) set(id string, cancelled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancelled {
		c.ids[id] = true
	} else {
		delete(c.ids, id)
	}
}

func (c *cancelledCalls) has(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ids[id]
}

// serve handles the messages of a connection until it ends.
func (l *liveRun) serve(pool *livePool, conn net.Conn) {
	defer pool.forget(conn)
	cancelled := &cancelledCalls{ids: map[string]bool{}}
	reader := bufio.NewReader(conn)
	for {
		message, err := sip.Read(reader)
		if err != nil {
			return
		}
		switch message.Method {
		case "CANCEL":
			cancelled.set(message.CallID, true)
			l.checker.AttemptEnded(l.now(), message.CallID, true)
		case "INVITE":
			controller := strings.TrimPrefix(message.Get("via"), "SIP/2.0/TCP ")
			l.checker.AttemptSent(l.now(), message.CallID, controller, pool.model.UID())
			l.mu.Lock()
			l.attempts++
			l.mu.Unlock()
			cancelled.set(message.CallID, false)
			s := &liveSetup{run: l, pool: pool, conn: conn, invite: message, cancelled: cancelled}
			time.AfterFunc(l.networkDelay(), s.arrive)
		}
	}
}

// liveSetup is a set-up at a pool.
type liveSetup struct {
	run       *liveRun
	pool      *livePool
	conn      net.Conn
	invite    *sip.Message
	cancelled *cancelledCalls
	startedAt int64 // of the pool's process that accepted it
}

// arrive handles the set-up, and schedules its answer.
func (s *liveSetup) arrive() {
	l := s.run
	uniform := l.uniform()
	s.pool.mu.Lock()
	arrival, after := s.pool.model.Arrive(l.now(), &l.variant.Settings, uniform)
	s.startedAt = s.pool.model.StartedAt()
	s.pool.mu.Unlock()
	delay := time.Duration(after)*time.Microsecond + l.networkDelay()
	time.AfterFunc(delay, func() { s.answer(arrival) })
}

// answer sends the answer, unless the set-up was cancelled.
func (s *liveSetup) answer(arrival simulation.Arrival) {
	if s.cancelled.has(s.invite.CallID) {
		if arrival == simulation.ArrivalAccepted {
			s.releaseAgent()
		}
		return
	}
	switch arrival {
	case simulation.ArrivalAccepted:
		s.respond(statusOK, "", "v=0\r\n")
		time.AfterFunc(s.holdingTime(), s.hangUp)
	case simulation.ArrivalNoAgent:
		s.respond(statusUnavailable, "blocked", "")
	case simulation.ArrivalOverloaded:
		s.respond(statusUnavailable, "swamped", "")
	default:
		s.respond(statusServerError, "", "")
	}
}

// respond sends a final response.
func (s *liveSetup) respond(status int, note, body string) {
	response := &sip.Message{
		Status:     status,
		Reason:     "X",
		CallID:     s.invite.CallID,
		CSeq:       setupCSeq,
		CSeqMethod: "INVITE",
		Body:       []byte(body),
	}
	if note != "" {
		response.Headers = []sip.Header{{Name: "X-Note", Value: note}}
	}
	s.run.checker.AttemptEnded(s.run.now(), s.invite.CallID, false)
	send(s.conn, response)
}

// holdingTime draws how long the call lasts, from an exponential distribution with the mean of its class.
func (s *liveSetup) holdingTime() time.Duration {
	classes := s.run.variant.Class
	class := slices.IndexFunc(classes, func(c simulation.Class) bool { return c.Name == s.invite.Get("subject") })
	mean := float64(classes[max(0, class)].MeanHoldingTime)
	return time.Duration(-math.Log(1-s.run.uniform()) * mean)
}

// hangUp ends the call from the pool's side.
func (s *liveSetup) hangUp() {
	s.releaseAgent()
	sendRequest(s.conn, "BYE", s.invite.CallID, sip.Header{Name: "Reason", Value: "Q.850;cause=16"})
}

func (s *liveSetup) releaseAgent() {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.model.ReleaseAgent(s.startedAt)
}
