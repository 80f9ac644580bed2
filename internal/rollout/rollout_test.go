package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func plan() Plan {
	return Plan{
		Controllers: []string{"n0", "n1", "n2", "n3", "n4"}, Stages: []int{1, 3, 5}, MinTime: 10_000, MaxTime: 60_000,
		MinCalls: 300, EvaluationInterval: 1000, Confidence: 0.99, Tolerance: 0.01,
	}
}

// world is controllers that count as their version does, and are moved as they are told.
type world struct {
	t       *testing.T
	p       Plan
	s       *State
	now     int64
	rng     *rand.Rand
	version []Version
	figures []Figures
	life    []int
	rate    int                 // calls a second each
	bad     map[Version]float64 // the share refused
	slow    map[Version]float64 // the share slow
	fail    func(i int, to Version) error
	each    func(w *world) // before every look
	abort   bool
	most    int // controllers that were new at a time
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, p: plan(), rng: rand.New(rand.NewPCG(seed, 2)), rate: 50, bad: map[Version]float64{Old: 0.02, New: 0.02},
		slow: map[Version]float64{Old: 0.005, New: 0.005}, fail: func(int, Version) error { return nil }, each: func(*world) {},
	}
	if err := w.p.Check(); err != nil {
		t.Fatal(err)
	}
	w.s = w.p.Begin("x")
	n := len(w.p.Controllers)
	w.version, w.figures, w.life = make([]Version, n), make([]Figures, n), make([]int, n)
	for i := range n {
		w.version[i], w.life[i], w.figures[i] = Old, 1, Figures{Times: map[int64]int64{}}
	}
	return w
}

// pass lets calls come for so many ms.
func (w *world) pass(ms int64) {
	w.now += ms
	for i := range w.figures {
		f := &w.figures[i]
		for range int64(w.rate) * ms / 1000 {
			switch {
			case w.rng.Float64() < w.bad[w.version[i]]:
				f.Rejected++
			case w.rng.Float64() < w.slow[w.version[i]]:
				f.InTime++
				f.Times[200_000]++
			default:
				f.InTime++
				f.Times[20_000+1000*w.rng.Int64N(10)]++
			}
		}
	}
}

// run plays the rollout to its end. The state goes through a file's form before every step, as when the tool is
// killed and started again each time.
func (w *world) run() *State {
	for range 10_000 {
		w.each(w)
		text, err := json.Marshal(w.s)
		if err != nil {
			w.t.Fatal(err)
		}
		w.s = &State{}
		if err := json.Unmarshal(text, w.s); err != nil {
			w.t.Fatal(err)
		}
		o := Observation{Now: w.now, Abort: w.abort}
		for i, f := range w.figures {
			o.Figures = append(o.Figures, f.Add(Figures{}))
			life := fmt.Sprint(w.life[i])
			if w.life[i] == 0 {
				life = ""
			}
			o.Incarnations = append(o.Incarnations, life)
		}
		switch a := w.p.Next(w.s, o); {
		case a.Final:
			return w.s
		case a.Move:
			err := w.fail(a.Index, a.To)
			if err == nil {
				w.version[a.Index] = a.To
				w.life[a.Index]++
				w.figures[a.Index] = Figures{Times: map[int64]int64{}}
			}
			w.p.Moved(w.s, a.Index, a.To, err)
			w.pass(500)
			new := 0
			for _, v := range w.version {
				if v == New {
					new++
				}
			}
			w.most = max(w.most, new)
		default:
			w.pass(a.Until - w.now)
		}
	}
	w.t.Fatal("the rollout does not end")
	return nil
}

func (w *world) all(v Version) bool {
	for _, is := range w.version {
		if is != v {
			return false
		}
	}
	return true
}

func TestRollouts(t *testing.T) {
	for _, c := range []struct {
		name   string
		set    func(w *world)
		phase  Phase
		most   int    // controllers that were ever new at a time
		reason string // a part of it
	}{
		{"a good change", func(w *world) {}, Done, 5, ""},
		{"one that refuses more", func(w *world) { w.bad[New] = 0.15 }, Aborted, 1, "not standing in time"},
		{"one that is slower", func(w *world) { w.slow[New] = 0.2 }, Aborted, 1, "p99"},
		{"one that refuses a little more, within the tolerance", func(w *world) { w.bad[New] = 0.025 }, Done, 5, ""},
		{"no calls", func(w *world) { w.rate = 0 }, Aborted, 1, "only 0 calls"},
		{"too few calls", func(w *world) { w.rate = 4 }, Aborted, 1, "calls of the new"},
		{"one that ends by itself", func(w *world) {
			w.each = func(w *world) {
				if w.s.Stage == 1 && w.s.Since > 0 && w.version[0] == New && w.life[0] == 2 {
					w.life[0]++
				}
			}
		}, Aborted, 3, "controller n0 ended"},
		{"an old one that is started anew meanwhile", func(w *world) {
			w.each = func(w *world) {
				if w.s.Stage == 1 && w.s.Since > 0 && w.version[4] == Old && w.life[4] == 1 {
					w.life[4], w.figures[4] = 2, Figures{Times: map[int64]int64{}}
				}
			}
		}, Done, 5, ""},
		{"one move that fails once", func(w *world) {
			failed := false
			w.fail = func(i int, to Version) error {
				if i == 1 && !failed {
					failed = true
					return errors.New("killed")
				}
				return nil
			}
		}, Done, 5, ""},
		{"settings refused at the second stage", func(w *world) {
			w.fail = func(i int, to Version) error {
				if i == 2 && to == New {
					return fmt.Errorf("%w: config: listen: empty", ErrRejected)
				}
				return nil
			}
		}, Aborted, 2, "listen: empty"},
		{"a controller that cannot be brought back", func(w *world) {
			w.bad[New] = 0.5
			w.fail = func(i int, to Version) error {
				if to == Old {
					return errors.New("no such program")
				}
				return nil
			}
		}, Stuck, 1, "could not be made old"},
		{"the operator aborts", func(w *world) {
			w.each = func(w *world) { w.abort = w.s.Stage == 1 }
		}, Aborted, 2, "operator"},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(3) {
				w := newWorld(t, seed)
				c.set(w)
				s := w.run()
				if s.Phase != c.phase || !strings.Contains(s.Reason, c.reason) || (c.reason == "") != (s.Reason == "") {
					t.Errorf("phase %q, reason %q, want %q, %q\n%s", s.Phase, s.Reason, c.phase, c.reason, strings.Join(s.Log, "\n"))
				}
				if w.most != c.most {
					t.Errorf("%d were new at a time, want %d", w.most, c.most)
				}
				if s.Phase == Done && !w.all(New) || s.Phase == Aborted && !w.all(Old) {
					t.Errorf("phase %q with versions %v", s.Phase, w.version)
				}
			}
		})
	}
}

// A change that is no worse is stopped no more often than the confidence says, and one that refuses 7 points more
// is stopped in its first stage nearly always.
func TestTheTestKeepsItsConfidence(t *testing.T) {
	const runs = 200
	stopped, late := 0, 0
	for seed := range uint64(runs) {
		w := newWorld(t, seed)
		w.bad[Old], w.bad[New] = 0.1, 0.1
		if s := w.run(); s.Phase != Done {
			stopped++
		}
		w = newWorld(t, seed)
		w.bad[Old], w.bad[New] = 0.1, 0.17
		w.p.MinTime, w.p.MinCalls = 40_000, 1500
		if w.run(); w.most > 1 {
			late++
		}
	}
	t.Logf("of %d: %d good ones stopped, %d bad ones past their first stage", runs, stopped, late)
	if stopped > runs/50 || late > runs/10 {
		t.Errorf("of %d: %d good ones stopped, %d bad ones past their first stage", runs, stopped, late)
	}
}

func TestBadPlansNameTheField(t *testing.T) {
	for field, change := range map[string]func(p *Plan){
		"controller":   func(p *Plan) { p.Controllers = p.Controllers[:1] },
		"stages":       func(p *Plan) { p.Stages = []int{1, 3} },
		"stages: want": func(p *Plan) { p.Stages = []int{3, 3, 5} },
		"most_time":    func(p *Plan) { p.MaxTime = 1 },
		"min_calls":    func(p *Plan) { p.MinCalls = 0 },
		"look_every":   func(p *Plan) { p.EvaluationInterval = 0 },
		"confidence":   func(p *Plan) { p.Confidence = 1 },
		"tolerance":    func(p *Plan) { p.Tolerance = -1 },
	} {
		p := plan()
		change(&p)
		if err := p.Check(); !errors.Is(err, ErrPlan) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	for text, want := range map[string]int{"1": 1, "20%": 1, "50%": 3, "100%": 5, "21%": 2} {
		if n, err := ParseStage(text, 5); err != nil || n != want {
			t.Errorf("%s of 5: %d, %v, want %d", text, n, err, want)
		}
	}
	for _, text := range []string{"", "x", "0%", "101%", "%"} {
		if _, err := ParseStage(text, 5); !errors.Is(err, ErrPlan) {
			t.Errorf("%q: %v", text, err)
		}
	}
}
