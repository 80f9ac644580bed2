// Command toypool is a toy sync pool and bulletin on loopback, to try eidertrail with. It has a few
// agents; a call that finds one free stands for a while, any other is turned away as full. Once a minute
// it tells over the bulletin that it is still up.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"log"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"eidertrail/internal/backend/sip"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:5061", "where the pool listens")
	bulletin := flag.String("bulletin", "127.0.0.1:4222", "where the bulletin listens")
	agents := flag.Int("agents", 3, "how many calls may stand at a time")
	hold := flag.Duration("hold", 5*time.Second, "how long a call stands")
	rate := flag.Float64("rate", 20, "set-ups a second that it says it takes from all controllers")
	flag.Parse()
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		log.Fatal(err)
	}
	b, err := net.Listen("tcp", *bulletin)
	if err != nil {
		log.Fatal(err)
	}
	go func() { log.Fatal(http.Serve(b, http.HandlerFunc(board))) }()
	log.Printf("pool on %s with %d agents, bulletin on %s", l.Addr(), *agents, b.Addr())
	p := &pool{agents: *agents, hold: *hold, rate: *rate, standing: map[string]*time.Timer{}}
	go p.tell()
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go p.serve(c)
	}
}

// board is the bulletin: it has one event, which the example's configuration already knows.
func board(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	if after >= 1 {
		patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
		select {
		case <-time.After(time.Duration(min(patience, 5000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	fmt.Fprint(w, `{"no":1,"items":[]}`)
}

// description is the session description (RFC 8866) of the toy pool's agents. Every line of it ends in CRLF: the
// daemon takes one whose last line does not end for an answer that was cut off.
const description = "v=0\r\n" +
	"o=toypool 1 1 IN IP4 127.0.0.1\r\n" +
	"s=-\r\n" +
	"c=IN IP4 127.0.0.1\r\n" +
	"t=0 0\r\n" +
	"m=audio 31000 RTP/AVP 0\r\n"

type pool struct {
	agents int
	hold   time.Duration
	rate   float64 // set-ups a second that it says it takes

	mu       sync.Mutex
	standing map[string]*time.Timer
	conns    []net.Conn     // oldest first
	ended    []*sip.Message // releases that the next connection is told too
}

const (
	// tellEvery is how often the pool tells its state on every connection: a controller takes one that is quiet, with
	// calls standing, for lost.
	tellEvery = 300 * time.Millisecond
	// mostEnded bounds the releases that are told again.
	mostEnded = 64
)

// tell tells the pool's state on every connection, for ever.
func (p *pool) tell() {
	for range time.Tick(tellEvery) {
		p.mu.Lock()
		for _, c := range p.conns {
			send(c, p.notify())
		}
		p.mu.Unlock()
	}
}

func send(c net.Conn, m *sip.Message) { c.Write(m.Append(nil)) }

func (p *pool) state() sip.Header {
	return sip.Header{Name: "X-State", Value: fmt.Sprintf("idle:%d;circuits:%d;max_rate:%g", p.agents-len(p.standing), p.agents, p.rate)}
}

func (p *pool) notify() *sip.Message {
	return &sip.Message{
		Method: "NOTIFY", URI: "sip:exchange@net", CallID: "0000000000000000", CSeq: 1, Of: "NOTIFY",
		Headers: []sip.Header{p.state()},
	}
}

// over ends a call that stands: its release goes out on the connection of its set-up, or else on any open one, and on
// the next one that is opened.
func (p *pool) over(of net.Conn, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.standing, id)
	bye := &sip.Message{
		Method: "BYE", URI: "sip:exchange@net", CallID: id, CSeq: 2, Of: "BYE",
		Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}, p.state()},
	}
	if !slices.Contains(p.conns, of) && len(p.conns) > 0 {
		of = p.conns[len(p.conns)-1]
	}
	send(of, bye)
	p.ended = append(p.ended, bye)
	p.ended = p.ended[max(0, len(p.ended)-mostEnded):]
	log.Printf("over %s", id)
}

func (p *pool) serve(c net.Conn) {
	defer c.Close()
	p.mu.Lock()
	send(c, p.notify())
	for _, bye := range p.ended {
		send(c, bye)
	}
	p.ended = nil
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns = slices.DeleteFunc(p.conns, func(o net.Conn) bool { return o == c })
	}()
	r := bufio.NewReader(c)
	for {
		m, err := sip.Read(r)
		if err != nil {
			return
		}
		p.mu.Lock()
		switch m.Method {
		case "INVITE":
			answer := sip.Answer(m, 200, "OK")
			if len(p.standing) >= p.agents {
				answer = sip.Answer(m, 503, "Service Unavailable")
				answer.Headers = append(answer.Headers, sip.Header{Name: "X-Note", Value: "blocked"})
			} else {
				answer.Body = []byte(description)
				p.standing[m.CallID] = time.AfterFunc(p.hold, func() { p.over(c, m.CallID) })
			}
			answer.Headers = append(answer.Headers, p.state())
			send(c, answer)
			log.Printf("INVITE %s class %s: %d", m.CallID, m.Get("subject"), answer.Status)
		case "BYE":
			if t := p.standing[m.CallID]; t != nil {
				t.Stop()
				delete(p.standing, m.CallID)
			}
			send(c, sip.Answer(m, 200, "OK"))
			log.Printf("BYE %s", m.CallID)
		case "OPTIONS":
			send(c, sip.Answer(m, 200, "OK"))
		}
		p.mu.Unlock()
	}
}
