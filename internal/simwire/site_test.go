package simwire_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"eidertrail/internal/simwire"
)

const (
	millisecond = int64(1_000_000)
	second      = 1000 * millisecond
)

// skills are the settings of a site with agent pools, every key of the protocol's page in them.
const skills = `{"balancers":4,"caps":{"cancel":true,"connect_timeout":500000000,"cpu_us_per_request":0.0,` +
	`"cpu_us_per_s":300000,` +
	`"keepalive":600000000000,"max_attempts":6,"max_retry_after":2000000000,"may_duplicate":false,` +
	`"most_held":20000,"peers":true,` +
	`"probes":false,"retry_after":false,"streams_per_conn":1048576},"clients":{"marks_retry":false},` +
	`"discovery":"pushed",` +
	`"extra":{"allowed_pools":[[0,1],[0,2],[1,2]],"clear_wait":300000000,"far_state":"piggyback",` +
	`"gives_wait":false,"here":-1,` +
	`"mean_hold":[1200000000,800000000,800000000],"route_advice":true,"shape":"skills","t1":0,"widths":[1,1,1]},` +
	`"family":"trunks",` +
	`"goal":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.1},"index":0,"layer":0,` +
	`"layers":["channel-pool"],` +
	`"localities":["tbilisi","batumi"],"over_share_worth":0.05,"prices":{"connection":0.0,"cross_zone":0.0,` +
	`"discovery":0.0,` +
	`"handshake":0.0,"late_fail":0.041,"moves":0.0,"origin":0.0,"peer":0.013,"probe":0.0,"waste":0.024},` +
	`"realms":[{"name":"rioni-hotels","quota_per_s":6.0,"share":1.0}],"request_classes":[` +
	`{"deadline":15000000000,"effect":"safe","group":"all","late_worth":0.25,"name":"avail-read",` +
	`"promise":5000000000,"streaming":true,"window":5000000000,"worth":1.0},` +
	`{"deadline":6000000000,"effect":"keyed","group":"all","late_worth":0.25,"name":"stop-sell",` +
	`"promise":1500000000,"streaming":true,"window":5000000000,"worth":5.0},` +
	`{"deadline":15000000000,"effect":"unsafe","group":"all","late_worth":0.1,"name":"rate-push",` +
	`"promise":5000000000,"streaming":true,"window":5000000000,"worth":3.0}],` +
	`"rules":{"answer_slack":20000000,"ask_within":10000000000,"cold":14000000000,"cold_share":0.3,` +
	`"drain_grace":500000000,` +
	`"fall_multiple":3.0,"tip_after":1500000000},"skus":["std-1core"],"stats":{"names":["idle","circuits",` +
	`"reduce","recent_ms"],"via":"piggyback"},` +
	`"tick":5000000,"weights":"silent","worth_by":"request","zone":0}`

// network are the settings of a site with circuit groups between exchanges, where the list has to be asked for.
var network = replaced(skills,
	`"shape":"skills"`, `"shape":"network"`,
	`"here":-1`, `"here":2`,
	`"discovery":"pushed"`, `"discovery":"on_request"`,
	`"retry_after":false`, `"retry_after":true`,
	`"gives_wait":false`, `"gives_wait":true`,
	`"t1":0`, `"t1":400000000`)

// replaced is text with pairs of an old and a new part replaced, each of which must be there.
func replaced(text string, pairs ...string) string {
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			panic("not in the settings: " + pairs[i]) // a fault of this test
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	return text
}

// attempt is one that is out, or whose call stands.
type attempt struct {
	node, leg int
	call      uint64
	server    string
	sentAt    int64
	stands    bool
}

// timer is one that an instance asked for.
type timer struct {
	node  int
	token uint64
	due   int64
}

// site plays the simulator's side: random events that fit what the instances have done, and some that do not.
type site struct {
	host     *simwire.Host
	random   *rand.Rand
	settings string
	now      int64
	alive    []bool
	calls    [][]uint64 // by instance: those it was given
	next     uint64
	attempts []attempt
	timers   []timer
	legs     map[[2]uint64]int // how many attempts a call has had, by instance and call
	buffer   int
	epoch    int
	news     [][]string
	line     func(in, out string)
	servers  []string
}

func newSite(settings string, seed uint64, instances int, line func(in, out string)) *site {
	s := &site{
		host: simwire.NewHost(), random: rand.New(rand.NewPCG(seed, 11)), settings: settings, now: 7 * second, line: line,
		alive: make([]bool, instances), calls: make([][]uint64, instances), news: make([][]string, instances),
		legs: map[[2]uint64]int{}, next: 1564119492,
		servers: []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:8083", "10.0.0.4:8124", "10.0.0.5:80"},
	}
	return s
}

func (s *site) add(node int, format string, values ...any) {
	s.news[node] = append(s.news[node], fmt.Sprintf(format, values...))
}

// batch sends what has happened and takes what the instances order.
func (s *site) batch(t *testing.T) {
	t.Helper()
	var nodes []string
	for node, news := range s.news {
		if len(news) > 0 {
			nodes = append(nodes, fmt.Sprintf(`{"node_id":%d,"news":[%s]}`, node, strings.Join(news, ",")))
		}
		s.news[node] = nil
	}
	in := fmt.Sprintf(`{"clock":%d,"nodes":[%s]}`, s.now, strings.Join(nodes, ","))
	out, err := s.host.Batch([]byte(in), nil)
	if err != nil {
		t.Fatalf("%s: %v", in, err)
	}
	s.line(in, string(out))
	s.take(t, out)
}

// reply is the reply to a batch.
type reply struct {
	Nodes []struct {
		ID     int                 `json:"node_id"`
		Orders [][]json.RawMessage `json:"orders"`
	} `json:"nodes"`
}

func (s *site) take(t *testing.T, out []byte) {
	t.Helper()
	var r reply
	if err := json.Unmarshal(out, &r); err != nil {
		t.Fatalf("%s: %v", out, err)
	}
	for _, n := range r.Nodes {
		for _, order := range n.Orders {
			s.order(t, n.ID, order)
		}
	}
}

func (s *site) order(t *testing.T, node int, order []json.RawMessage) {
	t.Helper()
	read := func(i int, into any) {
		if err := json.Unmarshal(order[i], into); err != nil {
			t.Fatalf("order %s: %v", order, err)
		}
	}
	var name string
	read(0, &name)
	switch name {
	case "HandOff":
		a := attempt{node: node, sentAt: s.now}
		read(1, &a.call)
		read(2, &a.server)
		a.leg = s.legs[[2]uint64{uint64(node), a.call}]
		s.legs[[2]uint64{uint64(node), a.call}]++
		s.attempts = append(s.attempts, a)
	case "WakeAt":
		var in int64
		k := timer{node: node}
		read(1, &k.token)
		read(2, &in)
		k.due = s.now + in
		s.timers = append(s.timers, k)
	case "Listen":
		s.list(node, []string{"delta", "full", "failed"}[s.random.IntN(3)])
	}
}

// list tells an instance of the servers.
func (s *site) list(node int, kind string) {
	s.epoch++
	if kind == "failed" {
		s.add(node, `["Endpoints","failed",%d,null]`, s.epoch)
		return
	}
	s.buffer = (s.buffer + 1) % 16
	var lines []string
	for i, server := range s.servers {
		if kind == "delta" && s.random.IntN(3) > 0 {
			continue
		}
		born, mode := "null", "ready"
		if s.random.IntN(4) == 0 {
			born = strconv.FormatInt(s.now-s.random.Int64N(3*second), 10)
		}
		if kind == "delta" {
			mode = []string{"ready", "ready", "draining", "gone", "novel"}[s.random.IntN(5)]
		}
		lines = append(lines, fmt.Sprintf(`[%q,%s,1.5,%q,%d,%d,0]`, server, born, mode, i%3, i%2))
	}
	s.add(node, `["Census",%d,[%s]]`, s.buffer, strings.Join(lines, ","))
	s.add(node, `["Endpoints",%q,%d,%d]`, kind, s.epoch, s.buffer)
}

// start starts an instance, or starts it anew.
func (s *site) start(node int) {
	settings := replaced(s.settings, `"index":0`, fmt.Sprintf(`"index":%d`, node))
	s.add(node, `["Hello",%d,%s]`, s.random.Uint64N(1<<53), settings)
	s.alive[node] = true
	s.list(node, "cached")
	for _, server := range s.servers {
		s.add(node, `["Pong",0,"done",%q,[%d,%d,-1,-1]]`, server, s.random.IntN(40), 40)
	}
}

func (s *site) kill(node int) {
	s.add(node, `["Killed"]`)
	s.alive[node] = false
	s.calls[node] = nil
	s.attempts = slices.DeleteFunc(s.attempts, func(a attempt) bool { return a.node == node })
	s.timers = slices.DeleteFunc(s.timers, func(k timer) bool { return k.node == node })
}

func (s *site) report() string {
	return []string{
		"null", fmt.Sprintf("[%d,40,-1,-1]", s.random.IntN(40)), fmt.Sprintf("[%d,40,0.25,14.5]", s.random.IntN(3)),
		"[null,40]", "[0.4,1.25,0.5,14.5,9]", "[]",
	}[s.random.IntN(6)]
}

func (s *site) newCall(node int) {
	s.next++
	pool := []string{"null", "-1", "0", "1", "2", "57"}[s.random.IntN(6)]
	options := []string{"0", "2", "16", "null"}[s.random.IntN(4)]
	if s.random.IntN(12) == 0 && strings.Contains(s.settings, `"shape":"network"`) {
		options, pool = "8", "1"
	}
	s.add(node, `["JobIn",%d,1,0,%d,-1,%d,%d,null,%s,%s]`, s.next, s.random.Uint64N(6), s.random.IntN(3),
		second/2+s.random.Int64N(3*second), options, pool)
	s.calls[node] = append(s.calls[node], s.next)
}

var verdicts = []string{
	"done", "done", "done", "err", "err", "busy", "busy", "etimedout", "econnrefused", "econnreset", "ecanceled",
	"skipped", "novel",
}

// verdict ends an attempt, or has its call stand.
func (s *site) verdict(i int) {
	ended := &s.attempts[i]
	took := s.now - ended.sentAt
	if !ended.stands && s.random.IntN(2) == 0 {
		s.add(ended.node, `["AckFirst",%d,%d,%q,%d]`, ended.call, ended.leg, ended.server, took)
		ended.stands = true
		return
	}
	verdict := verdicts[s.random.IntN(len(verdicts))]
	if ended.stands {
		verdict = []string{"done", "done", "econnreset"}[s.random.IntN(3)]
	}
	complete := ended.stands || verdict == "done" || s.random.IntN(10) == 0
	note := "null"
	switch verdict {
	case "busy":
		note = []string{"1", "2", "18", "3", "19203", "0", "null"}[s.random.IntN(7)]
	case "err":
		note = []string{"4", "null"}[s.random.IntN(2)]
	}
	s.add(ended.node, `["Verdict",%d,%d,%q,%q,%d,%t,%s,%s]`,
		ended.call, ended.leg, ended.server, verdict, took, complete, note, s.report())
	s.attempts = slices.Delete(s.attempts, i, i+1)
}

// odd tells an instance something that is not known, or of which it knows nothing.
func (s *site) odd(node int) {
	switch s.random.IntN(5) {
	case 0:
		s.add(node, `["Novelty",1,{"a":2}]`)
	case 1:
		s.add(node, `["PeerData",1,"68692037"]`)
	case 2:
		s.add(node, `["Hangup",17]`)
	case 3:
		s.add(node, `["Verdict",17,0,"10.0.0.1:80","done",5,true,null,null]`)
	case 4:
		s.add(node, `["Pong",1400000,"econnrefused","10.0.0.1:80",[1,2]]`)
	}
}

// step lets time pass and things newEvents.
func (s *site) step(t *testing.T) {
	t.Helper()
	s.now += 5*millisecond + s.random.Int64N(60*millisecond)
	for i := 0; i < len(s.timers); i++ {
		if k := s.timers[i]; k.due <= s.now {
			s.add(k.node, `["Timer",%d]`, k.token)
			s.timers = slices.Delete(s.timers, i, i+1)
			i--
		}
	}
	for i := len(s.attempts) - 1; i >= 0; i-- {
		if s.random.IntN(4) == 0 {
			s.verdict(i)
		}
	}
	for node, alive := range s.alive {
		s.newEvents(node, alive)
	}
	s.batch(t)
}

func (s *site) newEvents(node int, alive bool) {
	if !alive {
		if s.random.IntN(5) == 0 {
			s.start(node)
		}
		return
	}
	for range s.random.IntN(3) {
		s.newCall(node)
	}
	switch dice := s.random.IntN(100); {
	case dice < 6:
		s.add(node, `["Pong",0,"done",%q,[%d,40,-1,-1]]`, s.servers[s.random.IntN(len(s.servers))], s.random.IntN(40))
	case dice < 12:
		s.list(node, []string{"delta", "delta", "full", "failed", "novel"}[s.random.IntN(5)])
	case dice < 15 && len(s.calls[node]) > 0:
		s.add(node, `["Hangup",%d]`, s.calls[node][s.random.IntN(len(s.calls[node]))])
	case dice < 18:
		s.odd(node)
	case dice < 19:
		s.kill(node)
		if s.random.IntN(2) == 0 {
			s.start(node)
		}
	}
}
