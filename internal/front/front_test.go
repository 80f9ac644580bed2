package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"eidertrail"
	"eidertrail/dispatch"
	"eidertrail/internal/clock"
	"eidertrail/internal/jsonl"
	"eidertrail/internal/standin"
	"eidertrail/internal/stats"
)

// trunk answers every attempt as the test last said.
type trunk struct {
	mu      sync.Mutex
	outcome dispatch.Outcome
	legs    []*leg
}

func (k *trunk) say(o dispatch.Outcome) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outcome = o
}

// first is the first call that stood.
func (k *trunk) first() *leg {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.legs[0]
}

type leg struct {
	done     chan struct{}
	ending   dispatch.Ending
	released int
}

func (l *leg) SDP() string             { return "v=0\r\né" }
func (l *leg) Done() <-chan struct{}   { return l.done }
func (l *leg) Ending() dispatch.Ending { return l.ending }
func (l *leg) Release(cause int)       { l.released = cause }

func (k *trunk) Invite(ctx context.Context, a dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	k.mu.Lock()
	e := dispatch.Ending{Outcome: k.outcome, At: a.At, State: dispatch.Untold}
	l := &leg{done: make(chan struct{})}
	if e.Outcome == dispatch.Answered {
		k.legs = append(k.legs, l)
	}
	k.mu.Unlock()
	switch e.Outcome {
	case dispatch.Answered:
		return l, e
	case dispatch.TimedOut: // stays out until the caller leaves
		<-ctx.Done()
		e.Outcome = dispatch.Cancelled
	}
	return nil, e
}

type rig struct {
	*Front
	t      *testing.T
	trunk  *trunk
	in     *standin.Listener
	ready  bool
	strays []string
}

func bubble(t *testing.T, test func(r *rig)) {
	synctest.Test(t, func(t *testing.T) { onRig(t, test) })
}

func onRig(t *testing.T, test func(r *rig)) {
	count, now := &stats.Set{}, clock.New()
	d, err := dispatch.New(eidertrail.Settings{Nodes: 1, Here: -1, Release: 300 * time.Millisecond,
		Classes: []eidertrail.Class{{Name: "voice", Aim: 2 * time.Second, Deadline: 6 * time.Second, Worth: 1}},
	}, 1, 2_000_000, now, zerolog.Nop(), count)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go d.Run(ctx)
	d.Roster([]dispatch.Server{{UID: "a"}}, false)
	r := &rig{t: t, trunk: &trunk{}, in: standin.NewListener(), ready: true}
	r.Front = New(Config{
		Desk:  dispatch.NewDesk(dispatch.DeskConfig{Dispatch: d, Trunk: r.trunk, Most: 100, Count: count}),
		Clock: now, MostConnections: 4, Ready: func() bool { return r.ready },
		ReleaseStray: func(id string, _ int) { r.strays = append(r.strays, id) }, Log: zerolog.Nop(), Count: count,
	})
	served := make(chan error, 1)
	go func() { served <- r.Serve(r.in) }()
	test(r)
	r.in.Close()
	r.cfg.Desk.Close()
	r.Close()
	if err := <-served; err != nil {
		t.Error(err)
	}
	stop()
}

// client is one connection; what comes in on it is in lines.
type client struct {
	net.Conn
	mu    sync.Mutex
	lines []string
	ended bool
}

// take is what has come in since it was last called, and whether the connection has ended.
func (c *client) take() ([]string, bool) {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	lines := c.lines
	c.lines = nil
	return lines, c.ended
}

func (r *rig) dial() *client {
	c := &client{Conn: r.in.Dial()}
	go func() {
		for s := bufio.NewScanner(c); ; {
			more := s.Scan()
			c.mu.Lock()
			if c.ended = !more; more {
				c.lines = append(c.lines, s.Text())
			}
			c.mu.Unlock()
			if !more {
				return
			}
		}
	}()
	return c
}

func (c *client) say(text string) {
	io.WriteString(c, text+"\n")
	synctest.Wait()
}

func (r *rig) want(c *client, lines ...string) {
	r.t.Helper()
	all, _ := c.take()
	if got := strings.Join(all, "\n"); got != strings.Join(lines, "\n") {
		r.t.Fatalf("got\n%s\nwant\n%s", got, strings.Join(lines, "\n"))
	}
}

const (
	setup  = `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"voice","left":"1500","key":"7f3a","extras":"dest:0;width:1;via:-1"},"sdp":"x"}`
	answer = `{"type":"answer","id":"9b1f03aa5c7e2d41","fields":{},"sdp":"v=0\r\né"}`
)

func TestCallAnsweredAndEndedByPool(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		c.say(setup)
		r.want(c, answer)
		l := r.trunk.first()
		l.ending = dispatch.Ending{Outcome: dispatch.Reset, Cause: 41, State: dispatch.Untold}
		close(l.done)
		r.want(c, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":41}`)
	})
}

func TestReleaseOnAnotherConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		c, other := r.dial(), r.dial()
		c.say(setup)
		r.want(c, answer)
		c.Close()
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`)
		r.want(other, `{"type":"released","id":"9b1f03aa5c7e2d41","fields":{}}`)
		if r.trunk.first().released != 16 {
			t.Error("not released towards the pool")
		}
	})
}

func TestEndIsToldOnTheNextConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		c.say(setup)
		r.want(c, answer)
		c.Close()
		synctest.Wait()
		l := r.trunk.first()
		l.ending = dispatch.Ending{Outcome: dispatch.Ended, Cause: 16, State: dispatch.Untold}
		close(l.done)
		synctest.Wait()
		// A connection that only tests is told when no caller has come for a while; a caller at once.
		over := `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`
		tester := r.dial()
		r.want(tester)
		time.Sleep(500 * time.Millisecond)
		r.want(tester, over)
	})
}

// Guards against the end of a call being told to a tester, who knows of no calls, while callers are there.
func TestTestersAreNotToldOfCalls(t *testing.T) {
	bubble(t, func(r *rig) {
		c, other := r.dial(), r.dial()
		c.say(setup)
		r.want(c, answer)
		other.say(`{"type":"release","id":"00000000000000aa","cause":16}`)
		tester := r.dial() // the youngest
		tester.say(`{"type":"ping","id":"p","cause":0}`)
		tester.take()
		c.Close()
		synctest.Wait()
		l := r.trunk.first()
		l.ending = dispatch.Ending{Outcome: dispatch.Ended, Cause: 16, State: dispatch.Untold}
		close(l.done)
		r.want(other, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`)
		time.Sleep(time.Second)
		r.want(tester)
	})
}

func TestRefusalNamesNoRoom(t *testing.T) {
	bubble(t, func(r *rig) {
		r.trunk.say(dispatch.NoAgent)
		c := r.dial()
		c.say(setup)
		time.Sleep(1500 * time.Millisecond)
		r.want(c, `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":34}`)
	})
}

func TestCancelAndDuplicate(t *testing.T) {
	bubble(t, func(r *rig) {
		r.trunk.say(dispatch.TimedOut)
		c, other := r.dial(), r.dial()
		c.say(setup)
		other.say(setup) // one answer is owed for the id
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","cause":16}`)
		time.Sleep(3 * time.Second)
		r.want(c)
		r.want(other)
		other.say(`{"type":"release","id":"9b1f03aa5c7e2d41","cause":16}`)
		other.say(`{"type":"release","id":"00000000000000aa","cause":16}`)
		if len(r.strays) != 1 || r.strays[0] != "00000000000000aa" { // the other is known to be over
			t.Errorf("strays %v", r.strays)
		}
	})
}

func TestPing(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		c.say(`{"type":"ping","id":"p1","fields":{},"cause":0}`)
		r.want(c, `{"type":"pong","id":"p1","fields":{},"cause":1}`)
		r.ready = false
		c.say(`{"type":"ping","id":"p2","fields":{},"cause":0}`)
		r.want(c, `{"type":"pong","id":"p2","fields":{},"cause":0}`)
	})
}

func TestBadLines(t *testing.T) {
	bubble(t, func(r *rig) {
		c := r.dial()
		for _, text := range []string{`nonsense`, `[]`, `{"type":"dance","id":"x"}`, ``, `{"type":"progress","id":"x"}`} {
			c.say(text)
		}
		r.want(c)
		refused := `{"type":"release","id":"c1","fields":{},"cause":41}`
		for _, text := range []string{
			`{"type":"setup","id":"c1","fields":{"class":"fax","left":1}}`, `{"type":"setup","id":"c1","fields":{"class":"voice"}}`,
			`{"type":"setup","id":"c1","fields":{"class":"voice","left":1,"key":"a b"}}`, `{"type":"setup","id":"c1","fields":7}`,
		} {
			c.say(text)
			r.want(c, refused)
		}
		c.say(setup) // the connection still serves
		r.want(c, answer)
		c.say(strings.Repeat("x", 2*jsonl.Most)) // framing is lost
		if _, ended := c.take(); !ended {
			t.Error("still open after a line of 32 KiB")
		}
	})
}

// Guards against a caller who does not read holding up everybody else.
func TestStuckReaderLosesItsConnection(t *testing.T) {
	bubble(t, func(r *rig) {
		stuck, c := r.in.Dial(), r.dial()
		io.WriteString(stuck, setup+"\n") // its answer is never read
		c.say(strings.Replace(setup, "9b1f", "0000", 1))
		r.want(c, strings.Replace(answer, "9b1f", "0000", 1))
		time.Sleep(writeTimeout + time.Second)
		synctest.Wait()
		if n, err := stuck.Read(make([]byte, 1)); err == nil && n > 0 {
			t.Error("still open")
		}
	})
}

func TestConnectionsAreBounded(t *testing.T) {
	bubble(t, func(r *rig) {
		for range 4 {
			r.dial()
		}
		if _, ended := r.dial().take(); !ended {
			t.Error("a fifth connection was taken")
		}
	})
}

// FuzzConnection checks random steps on two connections against a model: at most one final answer for
// each set-up, none after a cancel, and a release only of what stood.
func FuzzConnection(f *testing.F) {
	standin.Fuzz(f, []string{"00010100", "000002010300", "010001100500", "0004020006", "040100020005", "03000100010104"},
		func(t *testing.T, script []byte) {
			onRig(t, func(r *rig) {
				finals, setups, cancelled := map[string]int{}, map[string]bool{}, map[string]bool{}
				conns := []*client{r.dial(), r.dial()}
				ended := func(c *client) bool {
					c.mu.Lock()
					defer c.mu.Unlock()
					return c.ended
				}
				at := func(b byte) *client { return conns[int(b)%2] }
				id := func(b byte) string { return "c" + string('0'+b>>1%4) }
				steps := []func(byte){
					func(b byte) {
						if !ended(at(b)) && !setups[id(b)] {
							setups[id(b)] = true
							at(b).say(strings.Replace(setup, "9b1f03aa5c7e2d41", id(b), 1))
						}
					},
					func(b byte) {
						if !ended(at(b)) {
							at(b).say(`{"type":"release","id":"` + id(b) + `","cause":16}`)
							cancelled[id(b)] = setups[id(b)] && finals[id(b)] == 0
						}
					},
					func(b byte) {
						r.trunk.say([]dispatch.Outcome{dispatch.Answered, dispatch.NoAgent, dispatch.TimedOut}[b%3])
					},
					func(b byte) { at(b).Close(); conns[int(b)%2] = r.dial() },
					func(b byte) { time.Sleep(time.Duration(b) * 20 * time.Millisecond) },
					func(b byte) { at(b).say(string(rune(b)) + `{"type":"setup","id":"` + id(b) + `"`) },
				}
				standin.Play(script, steps, func() {
					for _, c := range conns {
						lines, _ := c.take()
						for _, text := range lines {
							m, err := jsonl.Parse([]byte(text))
							if err != nil {
								t.Fatal(err)
							}
							if m.Type == "answer" || m.Type == "release" {
								if finals[m.ID]++; finals[m.ID] > 1 || !setups[m.ID] || cancelled[m.ID] {
									t.Fatalf("%d finals, set up %v, cancelled %v: %s", finals[m.ID], setups[m.ID], cancelled[m.ID], text)
								}
							}
						}
					}
				})
			})
		})
}
