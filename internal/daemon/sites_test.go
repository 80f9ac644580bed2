package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/BurntSushi/toml"
	"github.com/rs/zerolog"

	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// span is a figure of a site file: a number, or the two ends of a range.
type span struct{ least, most float64 }

// UnmarshalTOML implements toml.Unmarshaler.
func (s *span) UnmarshalTOML(v any) error {
	list, is := v.([]any)
	if !is {
		list = []any{v, v}
	}
	if len(list) != 2 {
		return fmt.Errorf("%v is no range", v)
	}
	for i, at := range []*float64{&s.least, &s.most} {
		switch n := list[i].(type) {
		case int64:
			*at = float64(n)
		case float64:
			*at = n
		default:
			return fmt.Errorf("%v is no number", v)
		}
	}
	return nil
}

func (s span) middle() float64 { return (s.least + s.most) / 2 }

// siteFile is what of a bench's site file reaches a controller in its settings.
type siteFile struct {
	Name string
	Day  struct {
		Tick span `toml:"tick_ms"`
	}
	Scale   struct{ Balancers span }
	Clients struct {
		MaxRetryAfter span `toml:"max_retry_after_ms"`
	}
	Allow struct {
		MaxAttempts int `toml:"max_attempts"`
	}
	Rules struct {
		Drain        span    `toml:"drain_grace_ms"`
		FallMultiple float64 `toml:"fall_multiple"`
		Fall         span    `toml:"fall_ms"`
	}
	Tier []struct {
		Report struct{ Fields []string }
		Conn   struct {
			Timeout span `toml:"connect_timeout_ms"`
		}
		Kind []struct {
			ColdFrom span `toml:"cold_from"`
			Cold     span `toml:"cold_s"`
		}
	}
	Class []struct {
		Name      string
		Aim       span `toml:"aim_ms"`
		Deadline  span `toml:"deadline_ms"`
		Worth     float64
		LateWorth float64 `toml:"late_worth"`
		Effect    string
	}
	Tenant []struct {
		Name  string
		Share float64
	}
	Fam struct {
		Hold    span `toml:"hold_s"`
		Resend  span `toml:"resend_ms"`
		Release span `toml:"release_ms"`
		Class   []struct {
			Hold    float64
			Skilled span
		}
	}
}

// reportNames are what reports' fields are called in the settings, by the site files' words.
var reportNames = map[string]string{
	"x0": "idle", "x1": "circuits", "inflight": "outstanding", "queue": "backlog",
	"util": "utilization", "latency_ms": "recent_ms", "qps": "max_rate", "eps": "reduce",
}

func loadSite(t *testing.T, path string) siteFile {
	t.Helper()
	var s siteFile
	if _, err := toml.DecodeFile(path, &s); err != nil {
		t.Fatal(err)
	}
	if len(s.Tier) != 1 || len(s.Tier[0].Kind) != 1 || len(s.Class) == 0 || len(s.Class) != len(s.Fam.Class) || len(s.Tenant) == 0 {
		t.Fatalf("%s: %d tiers, %d classes, %d of them with a hold, %d tenants", path, len(s.Tier), len(s.Class), len(s.Fam.Class), len(s.Tenant))
	}
	return s
}

// allowed are the groups of so many that class i may use: its share of them, each class from another one on.
func (s *siteFile) allowed(i, groups int) []int {
	n := max(1, int(math.Round(s.Fam.Class[i].Skilled.middle()*float64(groups))))
	var pools []int
	for g := range min(n, groups) {
		pools = append(pools, (i+g)%groups)
	}
	slices.Sort(pools)
	return pools
}

// configuration is RELAY_CONFIG for one controller of the site over stand-in pools at addresses, group by group.
// Ranges stand at their middles, but for the cold start, of which the settings tell the worst. t1 alone is no figure of
// the site: with a minute attempts are waited for for two, and no verdict hangs on how quick the machine is.
func (s *siteFile) configuration(t *testing.T, addresses []string) string {
	t.Helper()
	ns := func(ms float64) int64 { return int64(ms * 1e6) }
	var classes, tenants, targets, allowed, holds []any
	for i, c := range s.Class {
		classes = append(classes, map[string]any{
			"name": c.Name, "promise": ns(c.Aim.middle()), "deadline": ns(c.Deadline.middle()),
			"worth": c.Worth, "late_worth": c.LateWorth, "effect": c.Effect, "group": "all", "streaming": true,
		})
		allowed = append(allowed, s.allowed(i, len(addresses)))
		holds = append(holds, ns(1000*s.Fam.Hold.middle()*s.Fam.Class[i].Hold))
	}
	for _, r := range s.Tenant {
		tenants = append(tenants, map[string]any{"name": r.Name, "share": r.Share, "quota_per_s": 10 * r.Share})
	}
	for i, a := range addresses {
		targets = append(targets, map[string]any{"uid": fmt.Sprintf("s-%d", i), "endpoint": a, "pod_group": i, "state": "up", "boot_ms": 0})
	}
	var names []string
	for _, f := range s.Tier[0].Report.Fields {
		name, known := reportNames[f]
		if !known {
			t.Fatalf("%s: report field %q has no name in the settings", s.Name, f)
		}
		names = append(names, name)
	}
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "limits": map[string]any{"memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"no": 1, "items": []any{map[string]any{"no": 1, "roster": map[string]any{"all": true, "targets": targets}}}},
		"settings": map[string]any{
			"balancers": int(s.Scale.Balancers.most), "index": 0, "tick": ns(s.Day.Tick.middle()),
			"caps": map[string]any{
				"max_attempts": s.Allow.MaxAttempts, "connect_timeout": ns(s.Tier[0].Conn.Timeout.middle()),
				"max_retry_after": ns(s.Clients.MaxRetryAfter.middle()),
			},
			"extra": map[string]any{
				"here": -1, "shape": "skills", "allowed_pools": allowed, "mean_hold": holds,
				"clear_wait": ns(s.Fam.Release.middle()), "t1": int64(60e9),
			},
			"rules": map[string]any{
				"cold": ns(1000 * s.Tier[0].Kind[0].Cold.most), "cold_share": s.Tier[0].Kind[0].ColdFrom.least,
				"fall_multiple": s.Rules.FallMultiple, "tip_after": ns(s.Rules.Fall.middle()), "drain_grace": ns(s.Rules.Drain.middle()),
			},
			"request_classes": classes, "realms": tenants, "stats": map[string]any{"names": names, "via": "piggyback"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// sitePools are the stand-in pools of a site: they answer every set-up, each with a description of its own, and note
// the set-ups that came, by call.
type sitePools struct {
	addresses []string
	mu        sync.Mutex
	came      map[string][]arrived
}

type arrived struct {
	group   int
	subject string
}

func newSitePools(t *testing.T, s *siteFile, groups int) *sitePools {
	p := &sitePools{came: map[string][]arrived{}}
	for g := range groups {
		at := &fakeplatform.Pool{}
		at.OnRequest = func(q fakeplatform.Request) {
			if q.Method != "INVITE" {
				return
			}
			p.mu.Lock()
			p.came[q.CallID] = append(p.came[q.CallID], arrived{g, q.Get("subject")})
			p.mu.Unlock()
			q.Answer(200, "", description(g, q.CallID))
		}
		p.addresses = append(p.addresses, at.Listen(t))
	}
	return p
}

// description is what a pool answers a call with: all that a description may hold and JSON has to escape.
func description(group int, id string) string {
	return fmt.Sprintf("v=0\r\no=%d %s\r\ns=\"Größe\\\" <ø>&\t\u2028 søk\r\n", group, id)
}

// take are the set-ups that have come for the call.
func (p *sitePools) take(id string) []arrived {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.came[id]
}

// ascii is s as JSON without a byte over 0x7e, as some callers write it.
func ascii(s string) string {
	var b strings.Builder
	for _, u := range []rune(s) {
		if u < ' ' || u > '~' || u == '"' || u == '\\' || u == '/' {
			fmt.Fprintf(&b, `\u%04x`, u) // no name of a site file holds a character past U+FFFF
		} else {
			b.WriteRune(u)
		}
	}
	return `"` + b.String() + `"`
}

// plain is s as JSON with nothing escaped that need not be.
func plain(s string) string {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	e.Encode(s)
	return strings.TrimSpace(b.String())
}

// near are names that are close to one of the names and none of them: each one's beginnings and what could be taken
// for it.
func near(names []string) []string {
	made := map[string]bool{}
	for _, n := range names {
		letters := []rune(n)
		for _, other := range []string{
			string(letters[:1]), string(letters[:len(letters)-1]), n + " ", " " + n, n + "\x00", n + ".",
			strings.ToUpper(n), strings.ToLower(n), strings.ReplaceAll(n, "ü", "u\u0308"), n[:len(n)-1] + "*",
		} {
			if !slices.Contains(names, other) {
				made[other] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(made))
}

func sites(t *testing.T) []string {
	paths, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("site files %v, %v", paths, err)
	}
	return paths
}

// Guards against a program that serves only names that are one word of ASCII, or a class or tenant by the beginning of
// its name: at each site of deploy/sites the calls of every class and tenant reach a pool of the class under the class's
// own name, get one answer with that pool's description to the byte, and what is only close to a name is refused and
// reaches no pool.
func TestSites_CallsOfEveryClassAndTenant(t *testing.T) {
	for _, path := range sites(t) {
		s := loadSite(t, path)
		t.Run(s.Name, func(t *testing.T) {
			const groups = 3
			pools := newSitePools(t, &s, groups)
			d, err := Start(context.Background(), Options{Config: daemontest.WriteFile(t, "config.json", s.configuration(t, pools.addresses))}, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			signals, ended := serving(d)
			defer stopping(t, signals, ended)
			c := daemontest.Dial(t, d.listener.Addr().String())
			for ready := false; !ready; {
				fmt.Fprintln(c, `{"type":"ping","id":"p","cause":0}`)
				ready = c.Next().Cause == 1
			}

			n := 0
			place := func(c *daemontest.Caller, class, tenant string) string {
				n++
				id := fmt.Sprintf("%016x", n)
				fmt.Fprintf(c, `{"type":"setup","id":%q,"fields":{"class":%s,"tenant":%s,"left":"60000","key":"%x","extras":"dest:%d;width:1;via:-1"},"sdp":"v=0\r\n"}`+"\n",
					id, class, tenant, n, n%groups)
				return id
			}
			for i, class := range s.Class {
				for _, tenant := range s.Tenant {
					for _, spelt := range []func(string) string{plain, ascii} {
						id := place(c, spelt(class.Name), spelt(tenant.Name))
						m, came := c.Next(), pools.take(id)
						if m.Type != "answer" || m.ID != id {
							t.Fatalf("class %q, tenant %q: %+v", class.Name, tenant.Name, m)
						}
						if len(came) != 1 || came[0].subject != class.Name || !slices.Contains(s.allowed(i, groups), came[0].group) {
							t.Fatalf("class %q, which may use %v: set-ups %+v", class.Name, s.allowed(i, groups), came)
						}
						if want := description(came[0].group, id); m.SDP != want {
							t.Errorf("class %q: description %q, the pool's was %q", class.Name, m.SDP, want)
						}
						fmt.Fprintf(c, `{"type":"release","id":%q,"fields":{},"cause":16}`+"\n", id)
						if m := c.Next(); m.Type != "released" || m.ID != id {
							t.Errorf("class %q: after the release: %+v", class.Name, m)
						}
					}
				}
			}
			// Nothing more has come for any of them: the next line is the test's.
			fmt.Fprintln(c, `{"type":"ping","id":"last","cause":0}`)
			if m := c.Next(); m.Type != "pong" || m.ID != "last" {
				t.Errorf("after every call's one answer: %+v", m)
			}

			var classes, tenants []string
			for _, class := range s.Class {
				classes = append(classes, class.Name)
			}
			for _, tenant := range s.Tenant {
				tenants = append(tenants, tenant.Name)
			}
			refused := func(class, tenant string) {
				c := daemontest.Dial(t, d.listener.Addr().String()) // each on its own: too many of them close a connection
				defer c.Close()
				id := place(c, plain(class), plain(tenant))
				if m := c.Next(); m.Type != "release" || m.ID != id || m.Cause != 41 {
					t.Errorf("class %q, tenant %q: %+v, want it refused as what is not known", class, tenant, m)
				}
				if came := pools.take(id); len(came) > 0 {
					t.Errorf("class %q, tenant %q came to a pool: %+v", class, tenant, came)
				}
			}
			refused("", tenants[0])
			for _, class := range near(classes) {
				refused(class, tenants[0])
			}
			for _, tenant := range near(tenants) {
				if tenant != "" {
					refused(classes[0], tenant)
				}
			}
		})
	}
}

// The settings made of a site file are read as the file has them, so that the test above is of the site's own figures.
func TestSites_SettingsAreThoseOfTheFile(t *testing.T) {
	for _, path := range sites(t) {
		s := loadSite(t, path)
		t.Run(s.Name, func(t *testing.T) {
			cfg, err := config.Parse([]byte(s.configuration(t, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"})), clock.New())
			if err != nil {
				t.Fatal(err)
			}
			set := cfg.Settings
			if got, want := float64(set.ReleaseWait.Milliseconds()), s.Fam.Release.middle(); got != want {
				t.Errorf("release wait %v ms, want %v", got, want)
			}
			if set.OverloadMultiple != s.Rules.FallMultiple || set.SlowStartCapacity != s.Tier[0].Kind[0].ColdFrom.least ||
				set.SlowStartWindow.Seconds() != s.Tier[0].Kind[0].Cold.most || set.MaxAttempts != s.Allow.MaxAttempts {
				t.Errorf("cold start or attempts: %+v", set)
			}
			if cfg.ReportFree != "idle" || cfg.ReportAgents != "circuits" || len(cfg.ReportNames) != len(s.Tier[0].Report.Fields) {
				t.Errorf("report fields %q, of them %q and %q", cfg.ReportNames, cfg.ReportFree, cfg.ReportAgents)
			}
			for i, class := range set.Classes {
				want := s.Class[i]
				if class.Name != want.Name || float64(class.LatencyObjective.Milliseconds()) != math.Floor(want.Aim.middle()) || class.PriorityWeight != want.Worth ||
					!slices.Equal(class.Pools, s.allowed(i, 3)) || class.MeanHoldingTime <= 0 {
					t.Errorf("class %d: %+v, of %+v", i, class, want)
				}
			}
			for i, tenant := range s.Tenant {
				if cfg.Tenants[i] != tenant.Name {
					t.Errorf("tenant %d: %q, want %q", i, cfg.Tenants[i], tenant.Name)
				}
			}
		})
	}
}
