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

	"github.com/rs/zerolog"

	"eidertrail/internal/clock"
	"eidertrail/internal/config"
	"eidertrail/internal/testing/daemontest"
	"eidertrail/internal/testing/fakeplatform"
)

// sitePools are the fake pools of a site: they answer every set-up, each with a description of its own, and record the
// set-ups that they received, by call.
type sitePools struct {
	addresses []string
	mu        sync.Mutex
	received  map[string][]receivedSetup
}

type receivedSetup struct {
	group   int
	subject string
}

func newSitePools(t *testing.T, groups int) *sitePools {
	t.Helper()
	pools := &sitePools{received: map[string][]receivedSetup{}}
	for group := range groups {
		pool := &fakeplatform.Pool{}
		pool.OnRequest = func(request fakeplatform.Request) {
			if request.Method != "INVITE" {
				return
			}
			pools.mu.Lock()
			setup := receivedSetup{group, request.Get("subject")}
			pools.received[request.CallID] = append(pools.received[request.CallID], setup)
			pools.mu.Unlock()
			request.Answer(200, "", description(group, request.CallID))
		}
		pools.addresses = append(pools.addresses, pool.Listen(t))
	}
	return pools
}

// description is what a pool answers a call with: all that a description may hold and JSON has to escape.
func description(group int, id string) string {
	return fmt.Sprintf("v=0\r\no=%d %s\r\ns=\"Größe\\\" <ø>&\t\u2028 søk\r\n", group, id)
}

// setups are those that were received for the call.
func (p *sitePools) setups(id string) []receivedSetup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.received[id]
}

// spelling writes a text as JSON.
type spelling func(t *testing.T, text string) string

// ascii is s as JSON without a byte over 0x7e, as some callers write it.
func ascii(t *testing.T, s string) string {
	t.Helper()
	var b strings.Builder
	for _, u := range s {
		if u < ' ' || u > '~' || u == '"' || u == '\\' || u == '/' {
			fmt.Fprintf(&b, `\u%04x`, u) // no name of a site file holds a character past U+FFFF
		} else {
			b.WriteRune(u)
		}
	}
	return `"` + b.String() + `"`
}

// plain is s as JSON with nothing escaped that need not be.
func plain(t *testing.T, s string) string {
	t.Helper()
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(s); err != nil {
		t.Fatal(err)
	}
	return strings.TrimSpace(text.String())
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
	t.Helper()
	paths, err := filepath.Glob("../../deploy/sites/*.toml")
	if err != nil || len(paths) < 2 {
		t.Fatalf("site files %v, %v", paths, err)
	}
	return paths
}

// Names may be any text, and are told apart by all of it: at each site of deploy/sites the calls of every class and
// tenant reach a pool of the class under the class's own name, get one answer with that pool's description to the byte,
// and what is only close to a name is rejected and reaches no pool.
func TestSites_CallsOfEveryClassAndTenant(t *testing.T) {
	for _, path := range sites(t) {
		site := loadSite(t, path)
		t.Run(site.Name, func(t *testing.T) {
			pools := newSitePools(t, siteGroups)
			config := daemontest.WriteFile(t, "config.json", site.configuration(t, pools.addresses))
			daemon, err := Start(context.Background(), Options{Config: config}, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			signals, ended := serve(daemon)
			defer terminate(t, signals, ended)
			calls := &siteCalls{t: t, site: &site, pools: pools, address: daemon.listener.Addr().String()}
			caller := daemontest.Dial(t, calls.address)
			caller.AwaitReady()

			for class := range site.Class {
				for _, tenant := range site.Tenant {
					for _, spell := range []spelling{plain, ascii} {
						calls.wantAnswer(caller, class, tenant.Name, spell)
					}
				}
			}
			// Nothing more has come for any of them: the next line is the test's.
			if m := caller.Ping("last"); m.Type != "pong" || m.ID != "last" {
				t.Errorf("after every call's one answer: %+v", m)
			}

			classes, tenants := site.classNames(), site.tenantNames()
			calls.wantRejected("", tenants[0])
			for _, class := range near(classes) {
				calls.wantRejected(class, tenants[0])
			}
			for _, tenant := range near(tenants) {
				if tenant != "" {
					calls.wantRejected(classes[0], tenant)
				}
			}
		})
	}
}

// siteGroups is how many groups of pools the tests' sites have.
const siteGroups = 3

// unknownNameCause is the cause of a release for a class or tenant that is not known.
const unknownNameCause = 41

// siteCalls places calls at a site's controller, each under an id of its own.
type siteCalls struct {
	t       *testing.T
	site    *siteFile
	pools   *sitePools
	address string // where callers connect
	placed  int
}

// place sends a set-up with class and tenant as they are spelt in JSON, and returns its id.
func (s *siteCalls) place(caller *daemontest.Caller, class, tenant string) string {
	s.t.Helper()
	s.placed++
	id := fmt.Sprintf("%016x", s.placed)
	extras := fmt.Sprintf("dest:%d;width:1;via:-1", s.placed%siteGroups)
	caller.Send(`{"type":"setup","id":%q,"fields":{"class":%s,"tenant":%s,"left":"60000","key":"%x","extras":%q},`+
		`"sdp":"v=0\r\n"}`, id, class, tenant, s.placed, extras)
	return id
}

// wantAnswer places a call and releases it, and fails the test unless it had one answer, of a pool of its class.
func (s *siteCalls) wantAnswer(caller *daemontest.Caller, class int, tenant string, spell spelling) {
	s.t.Helper()
	name, allowed := s.site.Class[class].Name, s.site.allowedGroups(class, siteGroups)
	id := s.place(caller, spell(s.t, name), spell(s.t, tenant))
	m, setups := caller.Next(), s.pools.setups(id)
	if m.Type != "answer" || m.ID != id {
		s.t.Fatalf("class %q, tenant %q: %+v", name, tenant, m)
	}
	if len(setups) != 1 || setups[0].subject != name || !slices.Contains(allowed, setups[0].group) {
		s.t.Fatalf("class %q, which may use %v: set-ups %+v", name, allowed, setups)
	}
	if want := description(setups[0].group, id); m.SDP != want {
		s.t.Errorf("class %q: description %q, the pool's was %q", name, m.SDP, want)
	}
	caller.Send(`{"type":"release","id":%q,"fields":{},"cause":16}`, id)
	if m := caller.Next(); m.Type != "released" || m.ID != id {
		s.t.Errorf("class %q: after the release: %+v", name, m)
	}
}

// wantRejected places a call on a connection of its own, as too many rejections close one, and fails the test unless it
// was rejected for its class or tenant.
func (s *siteCalls) wantRejected(class, tenant string) {
	s.t.Helper()
	caller := daemontest.Dial(s.t, s.address)
	defer caller.Close()
	id := s.place(caller, plain(s.t, class), plain(s.t, tenant))
	if m := caller.Next(); m.Type != "release" || m.ID != id || m.Cause != unknownNameCause {
		s.t.Errorf("class %q, tenant %q: %+v, want it rejected as unknown", class, tenant, m)
	}
	if setups := s.pools.setups(id); len(setups) > 0 {
		s.t.Errorf("class %q, tenant %q came to a pool: %+v", class, tenant, setups)
	}
}

// The settings made of a site file are read as the file has them, so that the test above is of the site's own figures.
func TestSites_SettingsAreThoseOfTheFile(t *testing.T) {
	for _, path := range sites(t) {
		site := loadSite(t, path)
		t.Run(site.Name, func(t *testing.T) {
			text := site.configuration(t, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"})
			cfg, err := config.Parse([]byte(text), clock.New())
			if err != nil {
				t.Fatal(err)
			}
			settings, kind := cfg.Settings, site.Tier[0].Kind[0]
			if got, want := float64(settings.ReleaseWait.Milliseconds()), site.Fam.Release.middle(); got != want {
				t.Errorf("release wait %v ms, want %v", got, want)
			}
			if settings.OverloadMultiple != site.Rules.FallMultiple || settings.SlowStartCapacity != kind.ColdFrom.min ||
				settings.SlowStartWindow.Seconds() != kind.Cold.max || settings.MaxAttempts != site.Allow.MaxAttempts {
				t.Errorf("slow start or attempts: %+v", settings)
			}
			if cfg.ReportFree != "idle" || cfg.ReportAgents != "circuits" ||
				len(cfg.ReportNames) != len(site.Tier[0].Report.Fields) {
				t.Errorf("report fields %q, of them %q and %q", cfg.ReportNames, cfg.ReportFree, cfg.ReportAgents)
			}
			for i, class := range settings.Classes {
				want := site.Class[i]
				objective := float64(class.LatencyObjective.Milliseconds())
				if class.Name != want.Name || objective != math.Floor(want.Aim.middle()) || class.PriorityWeight != want.Worth ||
					!slices.Equal(class.Pools, site.allowedGroups(i, siteGroups)) || class.MeanHoldingTime <= 0 {
					t.Errorf("class %d: %+v, of %+v", i, class, want)
				}
			}
			for i, tenant := range site.Tenant {
				if cfg.Tenants[i] != tenant.Name {
					t.Errorf("tenant %d: %q, want %q", i, cfg.Tenants[i], tenant.Name)
				}
			}
		})
	}
}
