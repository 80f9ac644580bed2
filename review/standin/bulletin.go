package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is one line of the bulletin.
type target struct {
	UID      string `json:"uid"`
	Endpoint string `json:"endpoint"`
	AZ       string `json:"az"`
	Model    string `json:"model"`
	Group    int    `json:"pod_group"`
	State    string `json:"state"`
	BootMS   int64  `json:"boot_ms"`
}

type roster struct {
	Rev     int      `json:"rev"`
	All     bool     `json:"all"`
	Targets []target `json:"targets"`
}

type item struct {
	No     int    `json:"no"`
	Roster roster `json:"roster"`
}

type page struct {
	No    int    `json:"no"`
	Items []item `json:"items"`
}

// bulletin serves the events of the list by long poll.
type bulletin struct {
	rec  *record
	addr string

	mu      sync.Mutex
	items   []item
	changed chan struct{}
	slow    time.Duration // how long each request waits in its line before it is looked at
	server  *http.Server
}

func newBulletin(rec *record, targets []target) (*bulletin, error) {
	b := &bulletin{rec: rec, changed: make(chan struct{})}
	b.items = []item{{No: 1, Roster: roster{Rev: 1, All: true, Targets: targets}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.addr = l.Addr().String()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	go b.server.Serve(l)
	return b, nil
}

func (b *bulletin) page(after int) (page, chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := page{No: len(b.items), Items: []item{}}
	for _, one := range b.items {
		if one.No > after {
			p.Items = append(p.Items, one)
		}
	}
	return p, b.changed
}

func (b *bulletin) add(targets ...target) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	no := len(b.items) + 1
	b.items = append(b.items, item{No: no, Roster: roster{Rev: no, Targets: targets}})
	close(b.changed)
	b.changed = make(chan struct{})
	b.rec.logf("bulletin: event %d %+v", no, targets)
	return time.Now()
}

func (b *bulletin) serve(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
	came := time.Now()
	b.mu.Lock()
	slow := b.slow
	b.mu.Unlock()
	if slow > 0 {
		time.Sleep(slow)
	}
	until := came.Add(time.Duration(min(patience, 5000)) * time.Millisecond)
	for {
		p, changed := b.page(after)
		wait := time.Until(until)
		if len(p.Items) == 0 && wait > 0 {
			select {
			case <-changed:
			case <-time.After(wait):
			case <-r.Context().Done():
				b.rec.logf("bulletin: poll after=%d was given up after %.1f s", after, time.Since(came).Seconds())
				return
			}
			continue
		}
		if r.Context().Err() != nil {
			b.rec.logf("bulletin: poll after=%d was given up before its answer, %.1f s after it came", after, time.Since(came).Seconds())
			return
		}
		text, _ := json.Marshal(p)
		b.rec.logf("bulletin: poll after=%d answered with no=%d and %d events", after, p.No, len(p.Items))
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", fmt.Sprint(len(text)))
		w.Write(text)
		return
	}
}
