package trial

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"eidertrail/internal/backend/sip"
)

const (
	// agentsPerPool is what load reports say that a pool has.
	agentsPerPool = 60
	// maxService bounds how long a pool works on a set-up.
	maxService = 30 * time.Millisecond
	// outOfDialogID is the Call-ID of load reports, which belong to no call.
	outOfDialogID = "0000000000000000"
	// The status codes of answers (RFC 3261, section 21).
	statusOK, statusBusy, statusUnavailable = 200, 486, 503
	// The CSeq numbers of set-ups and of the pool's own requests.
	setupCSeq, poolCSeq = 1, 2
	// Of a hundred set-ups, how many get an error though nothing is wrong.
	errorsPerHundred, hundred = 2, 100
)

// backend is one process of a pool.
type backend struct {
	pool     *pool
	uid      string
	listener net.Listener

	mu        sync.Mutex
	conns     []net.Conn // the oldest first
	calls     map[string]*poolCall
	ended     bool
	hung      chan struct{}       // closed while it does not hang
	spoils    int                 // answers that are spoilt next
	extras    int                 // answers that bring more than belongs to them next
	late      map[string][][]byte // by peer: releases for the next connection that opens
	cancelled map[string]bool     // calls that were given up before they were answered
}

// poolCall is an established call of a pool.
type poolCall struct {
	conn net.Conn
	end  *time.Timer
}

// report sends the backend's state on its connections, unless it hangs.
func (b *backend) report() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.hung:
	default:
		return
	}
	state := b.state()
	for _, conn := range b.conns {
		write(conn, state)
	}
}

// state is the message that says how many agents are free. The caller holds mu.
func (b *backend) state() []byte {
	free := max(0, agentsPerPool-len(b.calls))
	message := &sip.Message{
		Method:     "NOTIFY",
		URI:        "sip:pool@net",
		CallID:     outOfDialogID,
		CSeq:       setupCSeq,
		CSeqMethod: "NOTIFY",
		Headers: []sip.Header{
			{Name: "X-State", Value: fmt.Sprintf("idle:%d;circuits:%d", free, agentsPerPool)},
		},
	}
	return message.Append(nil)
}

// write writes bytes. The end of a connection shows at its reader.
func write(conn net.Conn, bytes []byte) { _, _ = conn.Write(bytes) }

func (b *backend) accept() {
	for {
		conn, err := b.listener.Accept()
		if err != nil {
			return
		}
		if !b.register(conn) {
			conn.Close()
			continue
		}
		b.pool.world.tasks.Go(func() { b.serve(conn) })
	}
}

// register adds a connection: its first message is the state, and then come the releases that may have been lost.
func (b *backend) register(conn net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	b.conns = append(b.conns, conn)
	write(conn, b.state())
	for _, release := range b.late[peer(conn)] {
		write(conn, release)
	}
	delete(b.late, peer(conn))
	return true
}

// maxUnhandled bounds the messages of a connection that a backend that hangs has not handled.
const maxUnhandled = 1024

// serve reads a connection to its end, which shows also while the backend hangs.
func (b *backend) serve(conn net.Conn) {
	defer b.forget(conn)
	unhandled := make(chan *sip.Message, maxUnhandled)
	defer close(unhandled)
	b.pool.world.tasks.Go(func() { b.handle(conn, unhandled) })
	reader := bufio.NewReader(conn)
	for {
		message, err := sip.Read(reader)
		if err != nil {
			return
		}
		unhandled <- message
	}
}

// handle handles the messages of a connection, unless the backend hangs.
func (b *backend) handle(conn net.Conn, unhandled <-chan *sip.Message) {
	for message := range unhandled {
		b.awaitNotHung()
		switch message.Method {
		case "INVITE":
			delay := time.Duration(b.pool.world.randomInt(int(maxService)))
			time.AfterFunc(delay, func() { b.answer(conn, message) })
		case "CANCEL":
			b.clear(message.CallID)
		case "BYE":
			b.clear(message.CallID)
			b.respond(conn, message, statusOK, "BYE", "", poolCSeq)
		case "OPTIONS":
			b.respond(conn, message, statusOK, "OPTIONS", "", setupCSeq)
		}
	}
}

func (b *backend) forget(conn net.Conn) {
	conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.conns {
		if other == conn {
			b.conns = append(b.conns[:i], b.conns[i+1:]...)
			return
		}
	}
}

// awaitNotHung returns when the backend works.
func (b *backend) awaitNotHung() {
	b.mu.Lock()
	hung := b.hung
	b.mu.Unlock()
	<-hung
}

// clear ends a call that the controller released, or that its caller gave up.
func (b *backend) clear(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if call := b.calls[id]; call != nil {
		call.end.Stop()
		delete(b.calls, id)
		return
	}
	b.cancelled[id] = true
}

// answer answers a set-up, spoilt where that is due.
func (b *backend) answer(conn net.Conn, invite *sip.Message) {
	b.awaitNotHung()
	w := b.pool.world
	if w.randomInt(hundred) < errorsPerHundred {
		b.respond(conn, invite, statusBusy, "INVITE", "", setupCSeq)
		return
	}
	b.mu.Lock()
	if b.cancelled[invite.CallID] {
		delete(b.cancelled, invite.CallID)
		b.mu.Unlock()
		return
	}
	if b.ended || len(b.calls) >= agentsPerPool {
		b.mu.Unlock()
		b.respond(conn, invite, statusUnavailable, "INVITE", "", setupCSeq)
		return
	}
	spoil, extra := b.spoils > 0, b.extras > 0
	if spoil {
		b.spoils--
	} else if extra {
		b.extras--
	}
	b.mu.Unlock()
	if effect := effectOf(string(invite.Body)); effect != "" {
		w.checker.EffectRan(w.now(), effect, b.uid)
	}
	if spoil {
		b.spoil(conn, invite)
		return
	}
	description := descriptionOf(b.uid, invite.CallID)
	w.callers.made(invite.CallID, description)
	if extra {
		b.respond(conn, &sip.Message{CallID: "00000000000000ff"}, statusOK, "INVITE", description, setupCSeq)
	}
	b.establish(conn, invite.CallID)
	b.respond(conn, invite, statusOK, "INVITE", description, setupCSeq)
	if extra {
		b.respond(conn, invite, statusOK, "INVITE", description, setupCSeq)
	}
}

// descriptionOf is the description that a pool makes for a call.
func descriptionOf(uid, id string) string { return fmt.Sprintf("v=0\r\no=%s %s\r\n", uid, id) }

// establish has a call establish until its end.
func (b *backend) establish(conn net.Conn, id string) {
	holding := b.pool.world.randomExponential(b.pool.world.plan.HoldingTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[id] = &poolCall{conn: conn, end: time.AfterFunc(holding, func() { b.hangUp(id) })}
}

// hangUp ends a call from the pool's side: the release goes out on the connection of its set-up, else on any open one,
// and on the next one that is opened.
func (b *backend) hangUp(id string) {
	b.awaitNotHung()
	b.mu.Lock()
	defer b.mu.Unlock()
	call := b.calls[id]
	if call == nil || b.ended {
		return
	}
	delete(b.calls, id)
	bye := &sip.Message{
		Method:     "BYE",
		URI:        "sip:pool@net",
		CallID:     id,
		CSeq:       poolCSeq,
		CSeqMethod: "BYE",
		Headers:    []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}},
	}
	b.pool.world.callers.endedAtPool(id, b.uid)
	release, from := bye.Append(nil), peer(call.conn)
	b.late[from] = append(b.late[from], release)
	var open net.Conn
	for _, conn := range b.conns {
		if conn == call.conn {
			write(conn, release)
			return
		}
		if peer(conn) == from {
			open = conn
		}
	}
	if open != nil {
		write(open, release)
	}
}

// peer is the IP that a connection comes from: each process has one of its own.
func peer(conn net.Conn) string {
	host, _, _ := net.SplitHostPort(conn.RemoteAddr().String()) // an address of TCP has a port
	return host
}

// respond sends a final response.
func (b *backend) respond(conn net.Conn, request *sip.Message, status int, method, body string, sequence int) {
	response := &sip.Message{
		Status:     status,
		Reason:     "X",
		CallID:     request.CallID,
		CSeq:       sequence,
		CSeqMethod: method,
		Body:       []byte(body),
	}
	write(conn, response.Append(nil))
}

// end ends the backend as the end of its process would: its connections are reset, its calls are cut. A nil backend has
// ended.
func (b *backend) end() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended = true
	b.listener.Close()
	select {
	case <-b.hung:
	default:
		close(b.hung)
	}
	for _, conn := range b.conns {
		if tcp, is := conn.(*net.TCPConn); is {
			_ = tcp.SetLinger(0) // one that has ended needs no reset
		}
		conn.Close()
	}
	for id, call := range b.calls {
		call.end.Stop()
		b.pool.world.callers.endedAtPool(id, b.uid)
	}
	b.calls = map[string]*poolCall{}
}
