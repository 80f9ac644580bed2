// The tests in this file are characterisation tests: they record what the program does today, so that a change which is
// meant to change nothing can be shown to do so. They hold whole sessions on the simulator's wire line by
// line, digests of longer ones, the effect of every key of the settings, and the texts of errors.
// On a purposeful change the files under testdata/characterization are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/simwire -run TestCharacterization
//
// and the commit has to say why they changed.
package simwire_test

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"eidertrail/internal/simwire"
	"eidertrail/internal/testing/recorded"
)

// transcriptOf is a short session line by line.
func transcriptOf(t *testing.T, settings string, seed uint64) string {
	t.Helper()
	var b strings.Builder
	s := newSite(settings, seed, 2, func(in, out string) { b.WriteString("> " + in + "\n< " + out) })
	s.batch(t)
	s.start(0)
	s.start(1)
	s.batch(t)
	for range 120 {
		s.step(t)
	}
	return b.String()
}

func TestCharacterization_Sessions(t *testing.T) {
	recorded.Compare(t, "session-skills.txt", transcriptOf(t, skills, 3))
	recorded.Compare(t, "session-network.txt", transcriptOf(t, network, 4))
}

// digestOf runs a session of as many steps and returns a digest of the replies up to each tenth of it.
func digestOf(t *testing.T, name, settings string, seed uint64, steps, tenths int) string {
	t.Helper()
	sum := sha256.New()
	bytes := 0
	s := newSite(settings, seed, 2, func(_, out string) {
		sum.Write([]byte(out))
		bytes += len(out)
	})
	s.start(0)
	s.start(1)
	s.batch(t)
	var b strings.Builder
	for i := 1; i <= steps; i++ {
		s.step(t)
		if i%(steps/tenths) == 0 {
			fmt.Fprintf(&b, "%s after %d steps %d %s\n", name, i, bytes, hex.EncodeToString(sum.Sum(nil)))
		}
	}
	return b.String()
}

func TestCharacterization_Digests(t *testing.T) {
	var b strings.Builder
	for seed := range uint64(2) {
		b.WriteString(digestOf(t, fmt.Sprintf("skills-%d", seed), skills, seed, 400, 10))
		b.WriteString(digestOf(t, fmt.Sprintf("network-%d", seed), network, seed, 400, 10))
	}
	recorded.Compare(t, "sessions.txt", b.String())
}

// Each key with another value, or left out. The digests of keys that change nothing are those of the base.
func TestCharacterization_SettingsKeys(t *testing.T) {
	const first = `"effect":"safe","group":"all","late_worth":0.25,"name":"avail-read","promise":5000000000`
	var b strings.Builder
	b.WriteString(digestOf(t, "skills base", skills, 5, 120, 1))
	for _, change := range [][2]string{
		{`"balancers":4`, `"balancers":9`},
		{`"max_attempts":6`, `"max_attempts":1`},
		{`"max_attempts":6,`, ``},
		{`"max_retry_after":2000000000`, `"max_retry_after":20000000`},
		{`"max_retry_after":2000000000,`, ``},
		{`"clear_wait":300000000`, `"clear_wait":30000000`},
		{`"clear_wait":300000000,`, ``},
		{`[0,1],[0,2],[1,2]`, `[0],[2],[1]`},
		{`[[0,1],[0,2],[1,2]]`, `[[0]]`},
		{`[[0,1],[0,2],[1,2]]`, `null`},
		{`"mean_hold":[1200000000,800000000,800000000]`, `"mean_hold":[9200000000]`},
		{`"mean_hold":[1200000000,800000000,800000000]`, `"mean_hold":[]`},
		{first, replaced(first, `"promise":5`, `"promise":1`)},
		{first, replaced(first, `0.25`, `0.9`)},
		{first, replaced(first, `safe`, `unsafe`)},
		{first, replaced(first, `"effect":"safe",`, ``)},
		{first, replaced(first, `"avail-read"`, `"other"`)},
		{`"deadline":15000000000`, `"deadline":1000000000`},
		{`"worth":1.0`, `"worth":9.0`},
		{`"worth":1.0`, `"worth":0`},
		{`"window":5000000000`, `"window":1`},
		{`"cold":14000000000`, `"cold":500000000`},
		{`"cold_share":0.3`, `"cold_share":0.9`},
		{`"fall_multiple":3.0`, `"fall_multiple":1.5`},
		{`"tip_after":1500000000`, `"tip_after":300000000`},
		{`"ask_within":10000000000`, `"ask_within":400000000`},
		{`"tick":5000000`, `"tick":500000000`},
		{`["idle","circuits","reduce","recent_ms"]`, `["circuits","idle","reduce","recent_ms"]`},
		{`["idle","circuits","reduce","recent_ms"]`, `[]`},
		{`"via":"piggyback"`, `"via":"silent"`},
		{`"answer_slack":20000000`, `"answer_slack":1`},
		{`"drain_grace":500000000`, `"drain_grace":1`},
		{`"zone":0`, `"zone":1`},
		{`"over_share_worth":0.05`, `"over_share_worth":1`},
		{`"balancers":4`, `"balancers":4,"later_key":[1]`},
	} {
		b.WriteString(digestOf(t, "skills "+change[0]+" as "+change[1], replaced(skills, change[0], change[1]), 5, 120, 1))
	}
	b.WriteString(digestOf(t, "network base", network, 5, 120, 1))
	for _, change := range [][2]string{
		{`"here":2`, `"here":0`},
		{`"here":2,`, ``},
		{`"t1":400000000`, `"t1":0`},
		{`"t1":400000000`, `"t1":40000000`},
		{`"discovery":"on_request"`, `"discovery":"other"`},
		{`"retry_after":true`, `"retry_after":false`},
		{`"shape":"network"`, `"shape":"other"`},
		{`"max_retry_after":2000000000`, `"max_retry_after":20000000`},
		{`"max_retry_after":2000000000,`, ``},
		{`"ask_within":10000000000`, `"ask_within":400000000`},
		{`"clear_wait":300000000`, `"clear_wait":30000000`},
	} {
		b.WriteString(digestOf(t, "network "+change[0]+" as "+change[1], replaced(network, change[0], change[1]), 5, 120, 1))
	}
	recorded.Compare(t, "settings-keys.txt", b.String())
}

// goType is what an error text of encoding/json tells of Go types. It is masked, as it is no part of the wire.
var goType = regexp.MustCompile(`Go struct field \w*\.|of type (\[\])?(sim)?wire\.\w+|of type struct \{.*\}`)

func maskedError(err error) string {
	if err == nil {
		return "none"
	}
	return goType.ReplaceAllStringFunc(err.Error(), func(text string) string {
		if strings.HasPrefix(text, "Go struct field") {
			return "Go struct field TYPE."
		}
		return "of type TYPE"
	})
}

func batch(news string) string {
	return `{"clock":8000000000,"nodes":[{"node_id":3,"news":[` + news + `]}]}`
}

// malformedLines are lines of which most have a part that is absent, of the wrong type or out of its range.
func malformedLines() []string {
	return []string{
		``, `{`, `{"clock":`, `[1,2]`, `null`, `7`, `{}`, `{"nodes":[]}`, `{"clock":null,"nodes":[]}`,
		`{"clock":"1","nodes":[]}`, `{"clock":1.5,"nodes":[]}`,
		`{"clock":1}`, `{"clock":1,"nodes":{}}`, `{"clock":1,"nodes":[7]}`, `{"clock":1,"nodes":[{"news":[]}]}`,
		`{"clock":1,"nodes":[{"node_id":"3","news":[]}]}`,
		`{"clock":1,"nodes":[{"node_id":3}]}`, `{"clock":1,"nodes":[{"node_id":3,"news":{}}]}`,
		`{"clock":1,"nodes":[{"node_id":8,"news":[["Timer",1]]}]}`,
		`{"clock":1,"nodes":[]} x`, `{"clock":1,"nodes":[]}{"clock":2,"nodes":[]}`,
		`{"clock":1,"nodes":[{"node_id":8,"news":[]}],"more":1}`,
		batch(`7`), batch(`{"a":1}`), batch(`[]`), batch(`[5]`), batch(`[null]`), batch(`"x"`), batch(`["Timer","x"]`),
		batch(`["Timer",-1]`), batch(`["Timer"]`),
		batch(`["Timer",18446744073709551616]`), batch(`["Hangup","x"]`), batch(`["Hangup",1.5]`),
		batch(`["Hangup",null]`), batch(`["Hangup",-1]`),
		batch(`["JobIn","x",1,0,0,-1,0,3000000000,null,0,0]`), batch(`["JobIn",9,1,0,"x",-1,0,3000000000,null,0,0]`),
		batch(`["JobIn",9,1,0,0,-1,"x",3000000000,null,0,0]`),
		batch(`["JobIn",9,1,0,0,-1,0,"x",null,0,0]`), batch(`["JobIn",9,1,0,0,-1,0,3000000000,null,"x",0]`),
		batch(`["JobIn",9,1,0,0,-1,0,3000000000,null,0,"x"]`),
		batch(`["JobIn","x",1,0,"y",-1,0,3000000000,null,0,0]`), batch(`["JobIn",9,1,0,0,-1,7,3000000000,null,0,0]`),
		batch(`["JobIn",9]`),
		batch(`["JobIn",9,1,0,0,-1,-1,3000000000,null,0,0]`),
		batch(`["Verdict","x",0,"a","done",1,true,null,null]`), batch(`["Verdict",7,"x","a","done",1,true,null,null]`),
		batch(`["Verdict",7,0,"a",5,1,true,null,null]`),
		batch(`["Verdict",7,0,"a","done","x",true,null,null]`), batch(`["Verdict",7,0,"a","done",1,"x",null,null]`),
		batch(`["Verdict",7,0,"a","done",1,true,"x",null]`),
		batch(`["Verdict",7,0,"a","done",1,true,null,"x"]`), batch(`["Verdict",7,0,"a","done",1,true,null,["x"]]`),
		batch(`["Verdict",7,0,5,"done",1,true,null,[1]]`),
		batch(`["Verdict",7,0,5,"done",1,true,null,null]`), batch(`["Verdict","x",0,"a","novel",1,true,null,null]`),
		batch(`["AckFirst","x",0,"a",1]`), batch(`["AckFirst",7,"x","a",1]`), batch(`["AckFirst",7,0,"a","x"]`),
		batch(`["AckFirst",7,0,5,1]`),
		batch(`["Endpoints",5,1,0]`), batch(`["Endpoints","full",1,9]`), batch(`["Endpoints","full",1,"x"]`),
		batch(`["Endpoints","failed",1,9]`),
		batch(`["Endpoints","novel",1,9]`), batch(`["Endpoints"]`), batch(`["Pong",0,"done",17,[1]]`),
		batch(`["Pong",0,5,"a",[1]]`), batch(`["Pong",0,"done","a","x"]`),
		batch(`["Pong",0,"done","a",{}]`), batch(`["Pong",0,"done","a"]`), batch(`["Census","x",[]]`),
		batch(`["Census",1,7]`), batch(`["Census",1,[7]]`),
		batch(`["Census",1,[[7,null,1,"ready",0,0,0]]]`), batch(`["Census",1,[["a","x",1,"ready",0,0,0]]]`),
		batch(`["Census",1,[["a",null,1,5,0,0,0]]]`),
		batch(`["Census",1,[["a",null,1,"ready","x",0,0]]]`), batch(`["Census",1,[[]]]`), batch(`["Census",1]`),
		batch(`["Killed",7]`),
		batch(`["Hello"]`), batch(`["Hello",5]`), batch(`["Hello",5,null]`), batch(`["Hello",5,7]`),
		batch(`["Hello","x",{}]`), batch(`["Hello",-1,{}]`), batch(`["Hello",5,{}]`),
		batch(`["Hello",null,` + skills + `]`),
	}
}

// malformedSettings are changes of the settings, of which most make them invalid.
func malformedSettings() [][2]string {
	return [][2]string{
		{`"balancers":4`, `"balancers":"4"`},
		{`"balancers":4`, `"balancers":0`},
		{`"index":0`, `"index":4`},
		{`"index":0`, `"index":-1`},
		{`"index":0`, `"index":1.5`},
		{`"max_attempts":6`, `"max_attempts":-6`},
		{`"max_attempts":6`, `"max_attempts":"6"`},
		{`"retry_after":false`, `"retry_after":0`},
		{`"max_retry_after":2000000000`, `"max_retry_after":"x"`},
		{`"discovery":"pushed"`, `"discovery":1`},
		{`"here":-1`, `"here":"x"`},
		{`"here":-1`, `"here":null`},
		{`"shape":"skills"`, `"shape":1`},
		{`[0,1],[0,2],[1,2]`, `[0,"x"]`},
		{`[0,1],[0,2],[1,2]`, `[0,-1]`},
		{`"clear_wait":300000000`, `"clear_wait":-1`},
		{`"mean_hold":[1200000000`, `"mean_hold":[-1`},
		{`"mean_hold":[1200000000`, `"mean_hold":["x"`},
		{`"t1":0`, `"t1":-1`},
		{`"t1":0`, `"t1":0.5`},
		{`"name":"avail-read"`, `"name":1`},
		{`"promise":5000000000`, `"promise":-1`},
		{`"promise":5000000000`, `"promise":"x"`},
		{`"deadline":15000000000`, `"deadline":0`},
		{`"worth":1.0`, `"worth":-1`},
		{`"worth":1.0`, `"worth":"x"`},
		{`"late_worth":0.25`, `"late_worth":-1`},
		{`"effect":"safe"`, `"effect":"novel"`},
		{`"effect":"keyed"`, `"effect":"Keyed"`},
		{`"effect":"safe"`, `"effect":1`},
		{`"ask_within":10000000000`, `"ask_within":-1`},
		{`"cold":14000000000`, `"cold":-1`},
		{`"cold_share":0.3`, `"cold_share":-0.3`},
		{`"cold_share":0.3`, `"cold_share":1e999`},
		{`"fall_multiple":3.0`, `"fall_multiple":-3`},
		{`"tip_after":1500000000`, `"tip_after":-1`},
		{`"tick":5000000`, `"tick":-5`},
		{`"names":["idle"`, `"names":[1`},
		{`"via":"piggyback"`, `"via":1`},
		{`"request_classes":[`, `"request_classes":[7,`},
		{`"extra":{`, `"extra":7,"other":{`},
		{`"rules":{`, `"rules":[],"other":{`},
	}
}

func TestCharacterization_Malformed(t *testing.T) {
	lines := malformedLines()
	for _, change := range malformedSettings() {
		settings := replaced(skills, change[0], change[1])
		lines = append(lines, batch(`["Hello",5,`+settings+`]`))
	}
	var b strings.Builder
	for _, line := range lines {
		h := simwire.NewHost()
		start := batch(`["Hello",5,` + skills + `],["Census",0,[["a",null,1,"ready",0,0,0]]],["Endpoints","cached",1,0]`)
		if _, err := h.Batch([]byte(start), nil); err != nil {
			t.Fatal(err)
		}
		out, err := h.Batch([]byte(line), nil)
		fmt.Fprintf(&b, "> %s\nreply %q\nerror %s\n", strings.ReplaceAll(line, skills, "SETTINGS"), out, maskedError(err))
		out, err = h.Batch([]byte(batch(`["JobIn",10,1,0,0,-1,0,3000000000,null,0,0]`)), nil)
		fmt.Fprintf(&b, "then %q %s\n", out, maskedError(err))
	}
	recorded.Compare(t, "malformed.txt", b.String())
}
