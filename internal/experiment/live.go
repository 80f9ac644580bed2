package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"eidertrail/internal/backend/sip"
	"eidertrail/internal/frontend/linecodec"
	"eidertrail/internal/invariant"
	"eidertrail/internal/simulation"
)

// ErrUnfit tells that a scenario does not fit the daemon on loopback.
var ErrUnfit = fmt.Errorf("%w: the scenario does not fit", ErrLab)

// liveKinds are the events that a live run can cause.
var liveKinds = []string{
	string(simulation.EventBurst), string(simulation.EventSlow), string(simulation.EventErrors),
}

// Live plays a scenario in real time: processes of the daemon on loopback, with stand-in pools that do what the
// simulator's pools do, and callers. What it comes to has the figures that can be seen from outside.
func Live(ctx context.Context, v *Variant, daemon string, seed uint64) (*simulation.Result, error) {
	for _, e := range v.Event {
		if !slices.Contains(liveKinds, string(e.Kind)) {
			return nil, fmt.Errorf("%w: event %s: want one of %s", ErrUnfit, e.Kind, strings.Join(liveKinds, ", "))
		}
	}
	if v.Fleet != nil || v.Routing != nil || v.SRV != nil {
		return nil, fmt.Errorf("%w: fleet, routing and srv are the simulator's", ErrUnfit)
	}
	dir, err := os.MkdirTemp("", "eidertrail-lab")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	defer os.RemoveAll(dir)
	ctx, stop := context.WithCancel(ctx)
	l := &live{
		v: v, rng: rand.New(rand.NewPCG(seed, 9)), began: time.Now(), burst: 1, finals: map[string]*liveCall{},
		rules: invariant.New(invariant.Config{
			ReleaseWait: v.Settings.ReleaseWait.Microseconds(), MaxAttempts: 2, Grace: math.MaxInt64 / 4,
			Late: 100_000, LeftGrace: 100_000,
		}),
	}
	defer func() { stop(); l.wg.Wait() }()
	var targets []map[string]any
	for _, p := range v.Pool {
		for i := range max(p.Count, 1) {
			x, err := l.pool(ctx, simulation.NewPoolModel(p, i))
			if err != nil {
				return nil, err
			}
			targets = append(targets, map[string]any{
				"uid": x.model.UID(), "endpoint": x.address, "az": p.Zone,
				"pod_group": x.model.GroupNumber(), "state": "up", "boot_ms": 0,
			})
		}
	}
	for i := range v.Controllers {
		if err := l.controller(ctx, dir, daemon, i, targets); err != nil {
			return nil, err
		}
	}
	l.play(ctx)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return l.result(seed), nil
}

type live struct {
	v     *Variant
	wg    sync.WaitGroup
	rules *invariant.Checker
	began time.Time
	pools []*livePool
	fleet []*liveController

	mu     sync.Mutex
	rng    *rand.Rand
	burst  float64
	n      int
	finals map[string]*liveCall
	sends  int
	course []simulation.Window
	times  []int64
}

type livePool struct {
	model   *simulation.PoolModel
	address string
	mu      sync.Mutex // of the model, and the connections
	conns   map[net.Conn]bool
}

type liveController struct {
	name string
	conn net.Conn
}

// liveCall is a caller's try.
type liveCall struct {
	class, tries, window int
	first                time.Time
	node                 int
	done                 bool
	key, pool            string
}

func (l *live) now() int64 { return time.Since(l.began).Microseconds() + 1 }

func (l *live) lot() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// way is how long a message takes on the way to a pool.
func (l *live) way() time.Duration {
	least, most := time.Duration(l.v.Network.Near[0]), time.Duration(l.v.Network.Near[1])
	return least + time.Duration(l.lot()*float64(most-least))
}

// pool serves a stand-in pool until ctx is done.
func (l *live) pool(ctx context.Context, m *simulation.PoolModel) (*livePool, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrLab, err)
	}
	p := &livePool{model: m, address: ln.Addr().String(), conns: map[net.Conn]bool{}}
	l.pools = append(l.pools, p)
	context.AfterFunc(ctx, func() {
		ln.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for c := range p.conns {
			c.Close()
		}
	})
	l.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns[c] = true
			p.mu.Unlock()
			l.wg.Go(func() { l.serve(p, c) })
		}
	})
	if m.ReportInterval > 0 {
		l.wg.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case <-time.After(m.ReportInterval):
				}
				p.mu.Lock()
				state := fmt.Sprintf("idle:%d;circuits:%d", m.FreeAgents(), m.Agents)
				conns := make([]net.Conn, 0, len(p.conns))
				for c := range p.conns {
					conns = append(conns, c)
				}
				p.mu.Unlock()
				for _, c := range conns {
					request(c, "NOTIFY", "0000000000000000", sip.Header{Name: "X-State", Value: state})
				}
			}
		})
	}
	return p, nil
}

func request(c net.Conn, method, id string, h sip.Header) {
	m := &sip.Message{Method: method, URI: "sip:pool@net", CallID: id, CSeq: 2, Of: method, Headers: []sip.Header{h}}
	c.Write(m.Append(nil)) // a connection that has ended shows at its next reading
}

func (l *live) serve(p *livePool, c net.Conn) {
	defer func() {
		c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	calledOff := map[string]bool{}
	var mu sync.Mutex
	r := bufio.NewReader(c)
	for {
		m, err := sip.Read(r)
		if err != nil {
			return
		}
		switch m.Method {
		case "CANCEL":
			mu.Lock()
			calledOff[m.CallID] = true
			mu.Unlock()
			l.rules.Ended(l.now(), m.CallID, true)
		case "INVITE":
			controller := strings.TrimPrefix(m.Get("via"), "SIP/2.0/TCP ")
			l.rules.Sent(l.now(), m.CallID, controller, p.model.UID())
			l.mu.Lock()
			l.sends++
			l.mu.Unlock()
			mu.Lock()
			delete(calledOff, m.CallID)
			mu.Unlock()
			time.AfterFunc(l.way(), func() { l.arrive(p, c, m, func() bool { mu.Lock(); defer mu.Unlock(); return calledOff[m.CallID] }) })
		}
	}
}

// arrive is a set-up at its pool.
func (l *live) arrive(p *livePool, c net.Conn, m *sip.Message, calledOff func() bool) {
	p.mu.Lock()
	v, after := p.model.Arrive(l.now(), &l.v.Settings, l.lot())
	born := p.model.StartedAt()
	p.mu.Unlock()
	answer := func(status int, note, body string) {
		a := &sip.Message{Status: status, Reason: "X", CallID: m.CallID, CSeq: 1, Of: "INVITE", Body: []byte(body)}
		if note != "" {
			a.Headers = []sip.Header{{Name: "X-Note", Value: note}}
		}
		l.rules.Ended(l.now(), m.CallID, false)
		c.Write(a.Append(nil))
	}
	free := func() {
		p.mu.Lock()
		p.model.ReleaseAgent(born)
		p.mu.Unlock()
	}
	time.AfterFunc(time.Duration(after)*time.Microsecond+l.way(), func() {
		if calledOff() {
			if v == simulation.ArrivalAccepted {
				free()
			}
			return
		}
		switch v {
		case simulation.ArrivalAccepted:
			answer(200, "", "v=0\r\n")
			hold := time.Duration(-math.Log(1-l.lot()) * float64(l.v.Class[l.classOf(m)].MeanHoldingTime))
			time.AfterFunc(hold, func() {
				free()
				request(c, "BYE", m.CallID, sip.Header{Name: "Reason", Value: "Q.850;cause=16"})
			})
		case simulation.ArrivalNoAgent:
			answer(503, "blocked", "")
		case simulation.ArrivalOverloaded:
			answer(503, "swamped", "")
		default:
			answer(500, "", "")
		}
	})
}

func (l *live) classOf(m *sip.Message) int {
	return max(0, slices.IndexFunc(l.v.Class, func(c simulation.Class) bool { return c.Name == m.Get("subject") }))
}

// controller starts a process of the daemon and connects callers to it; the end of ctx stops it.
func (l *live) controller(ctx context.Context, dir, daemon string, i int, targets []map[string]any) error {
	s := l.v.Settings
	var classes []map[string]any
	for _, c := range l.v.Class {
		classes = append(classes, map[string]any{
			"name": c.Name, "promise": c.LatencyObjective.Nanoseconds(), "deadline": c.Deadline.Nanoseconds(),
			"worth": c.PriorityWeight, "late_worth": c.LateFactor,
		})
	}
	var hold []int64
	extra := map[string]any{"clear_wait": s.ReleaseWait.Nanoseconds(), "t1": s.RetransmitInterval.Nanoseconds()}
	var groups [][]int
	for _, c := range l.v.Class {
		hold = append(hold, c.MeanHoldingTime.Nanoseconds())
		if c.Groups != nil {
			extra["shape"] = "skills"
		}
		groups = append(groups, c.Groups)
	}
	extra["mean_hold"], extra["allowed_pools"] = hold, groups
	name := fmt.Sprintf("n%d", i)
	cfg, err := json.Marshal(map[string]any{
		"name": name, "listen": "127.0.0.1:0", "seed": fmt.Sprintf("%x", i+1),
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"no": 1, "items": []any{map[string]any{"no": 1, "roster": map[string]any{"all": true, "targets": targets}}}},
		"settings": map[string]any{
			"balancers": l.v.Controllers, "index": i, "tick": s.Tick.Nanoseconds(), "extra": extra,
			"caps": map[string]any{"max_attempts": s.MaxAttempts}, "rules": map[string]any{
				"cold": s.SlowStartWindow.Nanoseconds(), "cold_share": s.SlowStartCapacity,
				"fall_multiple": s.OverloadMultiple, "tip_after": s.OverloadWindow.Nanoseconds(),
			},
			"request_classes": classes,
		},
	})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLab, err)
	}
	path := filepath.Join(dir, name+".json")
	if err := os.WriteFile(path, cfg, 0o600); err != nil {
		return fmt.Errorf("%w: %w", ErrLab, err)
	}
	cmd := exec.CommandContext(ctx, daemon)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 5 * time.Second
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_LISTEN=")
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrLab, err)
	}
	cmd.Stderr = cmd.Stdout
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %s: %w", ErrLab, daemon, err)
	}
	serving := make(chan string, 1)
	l.wg.Go(func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct{ Message, Listen string }
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.Message == "serving" {
				serving <- line.Listen
			}
		}
		cmd.Wait()
	})
	select {
	case listen := <-serving:
		c, err := net.Dial("tcp", listen)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrLab, err)
		}
		context.AfterFunc(ctx, func() { c.Close() })
		l.fleet = append(l.fleet, &liveController{name, c})
		l.wg.Go(func() { l.read(c) })
		return nil
	case <-time.After(15 * time.Second):
		return fmt.Errorf("%w: %s does not serve", ErrLab, daemon)
	}
}

// play has callers come for as long as the scenario says, and waits until the last has its answer.
func (l *live) play(ctx context.Context) {
	time.Sleep(300 * time.Millisecond) // the first states are told
	l.mu.Lock()
	start := time.Now()
	l.course = make([]simulation.Window, int(l.v.Length.Seconds())+1)
	l.mu.Unlock()
	for _, e := range l.v.Event {
		time.AfterFunc(e.At, func() { l.happen(e, 1) })
		if e.Duration > 0 {
			time.AfterFunc(e.At+e.Duration, func() { l.happen(e, -1) })
		}
	}
	next := start
	for next.Sub(start) < l.v.Length && ctx.Err() == nil {
		l.mu.Lock()
		rate := l.v.Callers.Rate * l.burst
		gap := l.rng.ExpFloat64()
		l.mu.Unlock()
		if rate <= 0 {
			time.Sleep(l.v.Length)
			break
		}
		next = next.Add(time.Duration(gap / rate * 1e9))
		time.Sleep(time.Until(next))
		l.mu.Lock()
		share, total := l.rng.Float64(), 0.0
		for _, c := range l.v.Class {
			total += c.Fraction
		}
		k := &liveCall{
			first: time.Now(), node: l.rng.IntN(len(l.fleet)), window: min(int(time.Since(start).Seconds()), len(l.course)-1),
			key: fmt.Sprintf("%x", l.rng.Uint64()>>12|1), pool: fmt.Sprint(l.pools[l.rng.IntN(len(l.pools))].model.GroupNumber()),
		}
		for i, c := range l.v.Class {
			if share -= c.Fraction / total; share < 0 {
				k.class = i
				break
			}
		}
		w := &l.course[k.window]
		w.Calls++
		w.OfferedWeight += l.v.Class[k.class].PriorityWeight
		l.mu.Unlock()
		l.try(k)
	}
	for began := time.Now(); time.Since(began) < 20*time.Second && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		l.mu.Lock()
		open := 0
		for _, k := range l.finals {
			if !k.done {
				open++
			}
		}
		l.mu.Unlock()
		if open == 0 {
			break
		}
	}
	l.rules.Finish(l.now())
}

// happen begins or ends an event.
func (l *live) happen(e simulation.Event, sign float64) {
	if e.Kind == simulation.EventBurst {
		l.mu.Lock()
		l.burst *= math.Pow(e.Factor, sign)
		l.mu.Unlock()
		return
	}
	for _, p := range l.pools {
		if e.Pool != "" && e.Pool != p.model.UID() || e.Zone != "" && e.Zone != p.model.Zone {
			continue
		}
		p.mu.Lock()
		switch {
		case e.Kind == simulation.EventSlow:
			p.model.ScaleServiceTime(math.Pow(e.Factor, sign))
		case sign > 0:
			p.model.SetErrorRate(e.Fraction)
		default:
			p.model.SetErrorRate(p.model.ErrorRate)
		}
		p.mu.Unlock()
	}
}

// try dials once for a caller.
func (l *live) try(k *liveCall) {
	class := l.v.Class[k.class]
	left := time.Duration(float64(class.Deadline) * l.v.Callers.AttemptFraction)
	l.mu.Lock()
	l.n++
	id := fmt.Sprintf("%016x", l.n)
	l.finals[id] = k
	k.done = false
	l.mu.Unlock()
	now := l.now()
	l.rules.CallAccepted(now, id, now+left.Microseconds())
	fmt.Fprintf(l.fleet[k.node].conn, `{"type":"setup","id":%q,"fields":{"class":%q,"left":"%d","key":%q,"extras":"dest:%s"},"sdp":"x"}`+"\n",
		id, class.Name, left.Milliseconds(), k.key, k.pool)
	time.AfterFunc(left, func() {
		l.mu.Lock()
		waits := l.finals[id] == k && !k.done
		if waits {
			k.done = true
		}
		l.mu.Unlock()
		if waits {
			l.rules.CallerGone(l.now(), id)
			fmt.Fprintf(l.fleet[k.node].conn, `{"type":"release","id":%q,"fields":{},"cause":16}`+"\n", id)
			l.again(k)
		}
	})
}

// read takes what a controller says to its callers.
func (l *live) read(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		text, err := linecodec.ReadLine(r, nil)
		if err != nil {
			return
		}
		m, err := linecodec.Parse(text)
		if err != nil {
			continue
		}
		l.mu.Lock()
		k := l.finals[m.ID]
		first := k != nil && !k.done
		if first && (m.Type == "answer" || m.Type == "release") {
			k.done = true
		}
		l.mu.Unlock()
		if !first {
			continue // the end of a call that stood, or what crossed the caller's leaving
		}
		switch m.Type {
		case "answer":
			l.rules.Final(l.now(), m.ID, "stands")
			l.stands(k)
		case "release":
			l.rules.Final(l.now(), m.ID, "refused")
			l.again(k)
		}
	}
}

func (l *live) stands(k *liveCall) {
	took := time.Since(k.first)
	class := l.v.Class[k.class]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, took.Microseconds())
	w := &l.course[k.window]
	if took <= class.LatencyObjective {
		w.InTime++
		w.ServedWeight += class.PriorityWeight
	} else {
		w.Late++
		w.ServedWeight += class.PriorityWeight * class.LateFactor
	}
}

// again lets a caller dial again, or give up.
func (l *live) again(k *liveCall) {
	k.tries++
	if k.tries > l.v.Callers.Retries || time.Since(k.first) >= l.v.Class[k.class].Deadline {
		l.mu.Lock()
		l.course[k.window].Lost++
		l.mu.Unlock()
		return
	}
	next := *k
	time.AfterFunc(l.v.Callers.Backoff, func() { l.try(&next) })
}

func (l *live) result(seed uint64) *simulation.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &simulation.Result{Scenario: l.v.Name + " (daemon)", Seed: seed, Windows: l.course, Attempts: l.sends, Requests: l.n}
	var worth, earned float64
	for _, w := range l.course {
		r.Calls, r.InTime, r.Late, r.Lost = r.Calls+w.Calls, r.InTime+w.InTime, r.Late+w.Late, r.Lost+w.Lost
		worth, earned = worth+w.OfferedWeight, earned+w.ServedWeight
	}
	if worth > 0 {
		r.Service = earned / worth
	}
	r.Summarize(l.times)
	r.RecordViolations(l.rules)
	return r
}
