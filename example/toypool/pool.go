package main

import (
	"bufio"
	"fmt"
	"log"
	"net"
	"slices"
	"sync"
	"time"

	"eidertrail/internal/backend/sip"
)

// description is the session description (RFC 8866) of the toy pool's agents. Every line of it ends in CRLF: the
// daemon takes one whose last line does not end for an answer that was cut off.
const description = "v=0\r\n" +
	"o=toypool 1 1 IN IP4 127.0.0.1\r\n" +
	"s=-\r\n" +
	"c=IN IP4 127.0.0.1\r\n" +
	"t=0 0\r\n" +
	"m=audio 31000 RTP/AVP 0\r\n"

const (
	// reportInterval is how often the pool reports its load on every connection: a controller takes one that is
	// silent, with calls established on it, for lost.
	reportInterval = 300 * time.Millisecond
	// maxReleases bounds the releases that are sent again on the next connection.
	maxReleases = 64
)

// The status codes of its answers (RFC 3261, section 21).
const (
	statusOK                 = 200
	statusServiceUnavailable = 503
)

// The numbers of a pool's own requests: a NOTIFY is the first of its dialog, a BYE follows the INVITE.
const (
	notifySequence = 1
	byeSequence    = 2
)

// exchangeURI is where a pool's own requests go.
const exchangeURI = "sip:exchange@net"

// pool is the toy sync pool. It is safe for concurrent use.
type pool struct {
	agents      int
	holdingTime time.Duration // how long a call stays established
	maxRate     float64       // set-ups a second that it reports

	mu          sync.Mutex
	established map[string]*time.Timer // the ends of the calls, by Call-ID
	connections []net.Conn             // oldest first
	releases    []*sip.Message         // sent again on the next connection
}

func newPool(agents int, holdingTime time.Duration, maxRate float64) *pool {
	return &pool{agents: agents, holdingTime: holdingTime, maxRate: maxRate, established: map[string]*time.Timer{}}
}

// acceptAll serves every connection until the listener fails.
func (p *pool) acceptAll(listener net.Listener) error {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return err
		}
		go p.serve(connection)
	}
}

// reportLoad sends a load report on every connection, for ever.
func (p *pool) reportLoad() {
	for range time.Tick(reportInterval) {
		p.mu.Lock()
		for _, connection := range p.connections {
			send(connection, p.loadReport())
		}
		p.mu.Unlock()
	}
}

// serve answers the requests of one connection until it ends.
func (p *pool) serve(connection net.Conn) {
	defer connection.Close()
	p.open(connection)
	defer p.forget(connection)
	requests := bufio.NewReader(connection)
	for {
		request, err := sip.Read(requests)
		if err != nil {
			return
		}
		p.answer(connection, request)
	}
}

// open reports the load and the latest releases on a new connection.
func (p *pool) open(connection net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	send(connection, p.loadReport())
	for _, bye := range p.releases {
		send(connection, bye)
	}
	p.releases = nil
	p.connections = append(p.connections, connection)
}

func (p *pool) forget(connection net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections = slices.DeleteFunc(p.connections, func(open net.Conn) bool { return open == connection })
}

func (p *pool) answer(connection net.Conn, request *sip.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch request.Method {
	case "INVITE":
		answer := p.setUp(connection, request)
		send(connection, answer)
		log.Printf("INVITE %s class %s: %d", request.CallID, request.Get("subject"), answer.Status)
	case "BYE":
		if end := p.established[request.CallID]; end != nil {
			end.Stop()
			delete(p.established, request.CallID)
		}
		send(connection, sip.NewResponse(request, statusOK, "OK"))
		log.Printf("BYE %s", request.CallID)
	case "OPTIONS":
		send(connection, sip.NewResponse(request, statusOK, "OK"))
	}
}

// setUp establishes a call where an agent is free, and returns the final answer to its INVITE.
func (p *pool) setUp(connection net.Conn, invite *sip.Message) *sip.Message {
	var answer *sip.Message
	if len(p.established) >= p.agents {
		answer = sip.NewResponse(invite, statusServiceUnavailable, "Service Unavailable")
		answer.Headers = append(answer.Headers, sip.Header{Name: "X-Note", Value: "blocked"})
	} else {
		answer = sip.NewResponse(invite, statusOK, "OK")
		answer.Body = []byte(description)
		p.established[invite.CallID] = time.AfterFunc(p.holdingTime, func() { p.release(connection, invite.CallID) })
	}
	answer.Headers = append(answer.Headers, p.state())
	return answer
}

// release ends an established call: its BYE goes out on the connection of its set-up, or else on any open one, and on
// the next one that is opened.
func (p *pool) release(connection net.Conn, callID string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.established, callID)
	bye := &sip.Message{
		Method:     "BYE",
		URI:        exchangeURI,
		CallID:     callID,
		CSeq:       byeSequence,
		CSeqMethod: "BYE",
		Headers:    []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}, p.state()},
	}
	if !slices.Contains(p.connections, connection) && len(p.connections) > 0 {
		connection = p.connections[len(p.connections)-1]
	}
	send(connection, bye)
	p.releases = append(p.releases, bye)
	p.releases = p.releases[max(0, len(p.releases)-maxReleases):]
	log.Printf("over %s", callID)
}

// state is the header with the pool's load.
func (p *pool) state() sip.Header {
	idle := p.agents - len(p.established)
	return sip.Header{
		Name:  "X-State",
		Value: fmt.Sprintf("idle:%d;circuits:%d;max_rate:%g", idle, p.agents, p.maxRate),
	}
}

func (p *pool) loadReport() *sip.Message {
	return &sip.Message{
		Method:     "NOTIFY",
		URI:        exchangeURI,
		CallID:     "0000000000000000",
		CSeq:       notifySequence,
		CSeqMethod: "NOTIFY",
		Headers:    []sip.Header{p.state()},
	}
}

// send writes a message. Where that fails, the connection's reader ends it.
func send(connection net.Conn, message *sip.Message) { _, _ = connection.Write(message.Append(nil)) }
