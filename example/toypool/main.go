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
	"strconv"
	"sync"
	"time"

	"eidertrail/internal/sip"
)

func main() {
	listen := flag.String("listen", "127.0.0.1:5061", "where the pool listens")
	bulletin := flag.String("bulletin", "127.0.0.1:4222", "where the bulletin listens")
	agents := flag.Int("agents", 3, "how many calls may stand at a time")
	hold := flag.Duration("hold", 5*time.Second, "how long a call stands")
	flag.Parse()
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		log.Fatal(err)
	}
	go func() { log.Fatal(http.ListenAndServe(*bulletin, http.HandlerFunc(board))) }()
	log.Printf("pool on %s with %d agents, bulletin on %s", *listen, *agents, *bulletin)
	p := &pool{agents: *agents, hold: *hold, standing: map[string]*time.Timer{}}
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

type pool struct {
	agents int
	hold   time.Duration

	mu       sync.Mutex
	standing map[string]*time.Timer
}

func (p *pool) state() sip.Header {
	return sip.Header{Name: "X-State", Value: fmt.Sprintf("idle:%d;circuits:%d", p.agents-len(p.standing), p.agents)}
}

func (p *pool) serve(c net.Conn) {
	defer c.Close()
	send := func(m *sip.Message) { c.Write(m.Append(nil)) }
	p.mu.Lock()
	send(&sip.Message{Method: "NOTIFY", URI: "sip:exchange@net", CallID: "0000000000000000", CSeq: 1, Of: "NOTIFY",
		Headers: []sip.Header{p.state()}})
	p.mu.Unlock()
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
				answer.Body = []byte("toy answer to " + string(m.Body))
				p.standing[m.CallID] = time.AfterFunc(p.hold, func() {
					p.mu.Lock()
					defer p.mu.Unlock()
					delete(p.standing, m.CallID)
					send(&sip.Message{Method: "BYE", URI: "sip:exchange@net", CallID: m.CallID, CSeq: 2, Of: "BYE",
						Headers: []sip.Header{{Name: "Reason", Value: "Q.850;cause=16"}, p.state()}})
				})
			}
			answer.Headers = append(answer.Headers, p.state())
			send(answer)
			log.Printf("INVITE %s class %s: %d", m.CallID, m.Get("subject"), answer.Status)
		case "BYE":
			if t := p.standing[m.CallID]; t != nil {
				t.Stop()
				delete(p.standing, m.CallID)
			}
			send(sip.Answer(m, 200, "OK"))
			log.Printf("BYE %s", m.CallID)
		case "OPTIONS":
			send(sip.Answer(m, 200, "OK"))
		}
		p.mu.Unlock()
	}
}
