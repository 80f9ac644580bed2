package config

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tidwall/gjson"

	"eidertrail/internal/clock"
)

const good = `{"name":"n3","listen":"127.0.0.1:5060","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "bulletin":"127.0.0.2:4222","known":{"no":3,"items":[{"no":3,"roster":{"rev":1,"all":true,"targets":[
  {"uid":"s-1","endpoint":"127.0.0.3:5060","pod_group":2,"state":"up","boot_ms":0}]}}]},
 "settings":{"balancers":6,"index":2,"caps":{"max_attempts":6,"connect_timeout":500000000,"max_retry_after":2000000000},
  "extra":{"here":-1,"shape":"skills","allowed_pools":[[0,3]],"clear_wait":300000000,"mean_hold":[10200000000]},
  "request_classes":[{"name":"voice","promise":5000000000,"deadline":15000000000,
   "worth":1,"late_worth":0.25,"effect":"safe"}],
  "realms":[{"name":"acme"}],"rules":{"cold":14000000000,"cold_share":0.3,"fall_multiple":3,"tip_after":1500000000},
  "stats":{"names":["idle","circuits"]},"tick":5000000}}`

func TestParse_PlatformConfiguration(t *testing.T) {
	c, err := Parse([]byte(good), clock.New())
	if err != nil {
		t.Fatal(err)
	}
	s := c.Settings
	if c.Name != "n3" || c.Seed != 0x8c1f30d27a5be964 || c.MemoryMB != 192 || c.ConnectTimeout != 500_000 ||
		c.MaxRetryAfter != 2_000_000 || c.ReportFree != "idle" ||
		c.KnownEndpoints.Version != 3 || c.KnownEndpoints.Events[0].Endpoints[0].Group != 2 ||
		s.Nodes != 6 || s.Index != 2 || s.OwnExchange != -1 ||
		s.ReleaseWait != 300*time.Millisecond || s.SlowStartWindow != 14*time.Second ||
		s.Classes[0].LatencyObjective != 5*time.Second || len(s.Classes[0].Pools) != 2 || s.Classes[0].Pools[1] != 3 ||
		s.Classes[0].MeanHoldingTime != 10200*time.Millisecond || s.Classes[0].LateFactor != 0.25 {
		t.Errorf("%+v", c)
	}
}

// Load reports may carry more than free agents (a wait, a rate), which must not be read as agents: every name is kept
// in order for the start log, and the first two are the free agents and their number.
func TestParse_ReportNamesKeepTheirOrder(t *testing.T) {
	for names, want := range map[string][3]string{
		`["idle","circuits"]`:                        {"idle", "circuits", "idle,circuits"},
		`["idle","circuits","recent_ms","max_rate"]`: {"idle", "circuits", "idle,circuits,recent_ms,max_rate"},
	} {
		c, err := Parse([]byte(strings.Replace(good, `["idle","circuits"]`, names, 1)), clock.New())
		if err != nil {
			t.Fatal(err)
		}
		if got := [3]string{c.ReportFree, c.ReportAgents, strings.Join(c.ReportNames, ",")}; got != want {
			t.Errorf("%s: %q, want %q", names, got, want)
		}
	}
}

// Names are any text that can stand in a header and come out of it as it was.
func TestParse_NamesThatAHeaderCanCarry(t *testing.T) {
	for _, name := range []string{
		"Øyeblikkelig hjelp", `"Größe": 5;x=1`, "a.b*c?#|@", "\u00a0voice\u3000", strings.Repeat("ü", 128),
	} {
		quoted, _ := json.Marshal(name)
		text := strings.Replace(strings.Replace(good, `"voice"`, string(quoted), 1), `"acme"`, string(quoted), 1)
		c, err := Parse([]byte(text), clock.New())
		if err != nil || c.Classes[0] != name || c.Settings.Classes[0].Name != name || c.Tenants[0] != name {
			t.Errorf("%q: %+v, %v", name, c, err)
		}
	}
}

// A class that no pool has the skill for is sent to none of them, and a site whose configuration lacks the fields of
// its kind of service is accepted.
func TestParse_AllowedPoolsOfAClass(t *testing.T) {
	for text, want := range map[string][]int{
		good: {0, 3},
		strings.Replace(good, `[[0,3]]`, `[[]]`, 1):                    {},
		strings.Replace(good, `"allowed_pools":[[0,3]],`, ``, 1):       nil,
		strings.Replace(good, `"skills"`, `"network"`, 1):              nil,
		strings.Replace(good, `"extra":{`, `"extra":null,"more":{`, 1): nil,
	} {
		c, err := Parse([]byte(text), clock.New())
		if err != nil {
			t.Fatal(err)
		}
		if got := c.Settings.Classes[0].Pools; (got == nil) != (want == nil) || !slices.Equal(got, want) {
			t.Errorf("%s: pools %#v, want %#v", text, got, want)
		}
	}
}

// A controller must not start on a configuration that it has misread: the error is one line with the field's name.
func TestParse_ErrorNamesTheField(t *testing.T) {
	for _, edit := range [][3]string{
		{`"listen":"127.0.0.1:5060"`, `"listen":"here"`, "listen"},
		{`"listen":"127.0.0.1:5060",`, ``, "listen"},
		{`"seed":"8c1f`, `"seed":"xyz`, "seed"},
		{`"memory_mb":192`, `"memory_mb":"lots"`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":1`, "limits.sockets"},
		{`"127.0.0.2:4222"`, `7`, "bulletin"},
		{`"balancers":6`, `"balancers":0`, "settings.balancers"},
		{`"index":2`, `"index":6`, "Index"},
		{`"name":"voice",`, ``, "settings.request_classes.0.name"},
		{`"deadline":15000000000`, `"deadline":-1`, "settings.request_classes.0.deadline"},
		{`"effect":"safe"`, `"effect":"odd"`, "settings.request_classes.0.effect"},
		{`[[0,3]]`, `[[0,"x"]]`, "settings.extra.allowed_pools.0.1"},
		{`"cold_share":0.3`, `"cold_share":3`, "settings.rules.cold_share"},
		{`"tick":5000000`, `"tick":null,"request_classes":{}`, ""},
		{`"127.0.0.3:5060"`, `"nowhere"`, "known"},
		{`{"no":3,"items"`, `{"items"`, "known"},
		{`"settings":{`, `"settings":7,"x":{`, "settings"},
		{`"name":"acme"`, `"name":1`, "settings.realms.0.name"},
		{`"name":"n3"`, `"name":"n3\r\nTo: x"`, "name"},
		{`"name":"voice"`, `"name":""`, "settings.request_classes.0.name"},
		{`"name":"voice"`, `"name":"voice\r\nX-Patience: 1"`, "settings.request_classes.0.name"},
		{`"name":"voice"`, `"name":"vo\u007fice"`, "settings.request_classes.0.name"},
		{`"name":"voice"`, `"name":" voice"`, "settings.request_classes.0.name"},
		{`"name":"voice"`, `"name":"voice "`, "settings.request_classes.0.name"},
		{`"name":"voice"`, "\"name\":\"vo\xffice\"", "settings.request_classes.0.name"},
		{`"name":"voice"`, `"name":"` + strings.Repeat("ü", 129) + `"`, "settings.request_classes.0.name"},
		{`"request_classes":[`, `"request_classes":[{"name":"voice","deadline":1},`, "settings.request_classes.1.name"},
	} {
		text := strings.Replace(good, edit[0], edit[1], 1)
		if text == good {
			t.Fatalf("%s is not in the text", edit[0])
		}
		_, err := Parse([]byte(text), clock.New())
		if edit[2] == "" {
			continue
		}
		if err == nil || !strings.Contains(err.Error(), edit[2]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want a line that names %s", edit[1], err, edit[2])
		}
	}
	for _, text := range []string{"", "{", "[]"} {
		if _, err := Parse([]byte(text), clock.New()); err == nil {
			t.Errorf("%q was taken", text)
		}
	}
	if _, err := Load("/nowhere/config.json", clock.New()); err == nil {
		t.Error("no file was taken")
	}
}

// FuzzParse checks that no text makes the reader fail but with an error.
func FuzzParse(f *testing.F) {
	f.Add(good)
	f.Add(strings.ReplaceAll(good, "[", "{"))
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Parse([]byte(text), clock.New())
		if err == nil && (c.Listen == "" || len(c.Settings.Classes) == 0 || !gjson.Valid(text)) {
			t.Errorf("taken: %q", text)
		}
	})
}
