package simwire

import (
	"fmt"
	"strings"
	"testing"

	"eidertrail"
)

const helloMessages = `["Hello",5,{"balancers":2,"index":0,"caps":{"cancel":true,"max_attempts":6},` +
	`"extra":{"allowed_pools":[[0,1]],"clear_wait":300000000,"here":-1,"shape":"skills","t1":400000000},` +
	`"request_classes":[{"deadline":9000000000,"promise":2000000000,"worth":1.0,"effect":"safe"}],` +
	`"stats":{"names":["idle","circuits","recent_ms","max_rate"],"via":"piggyback"},"tick":5000000,"later_key":1}]`

const listMessages = `["Census",0,[["10.0.0.1:80",null,1,"ready",0,0,0],["10.0.0.2:80",6,1.5,"ready",1,1,0]]],` +
	`["Endpoints","cached",4,0]`

func line(node, news string) string {
	return `{"clock":1000000000,"nodes":[{"node_id":` + node + `,"news":[` + news + `]}]}`
}

func TestHost_Batch(t *testing.T) {
	host := NewHost()
	for _, step := range []struct{ name, in, want string }{
		{"empty", `{"clock":1,"nodes":[]}`, `{"nodes":[]}`},
		{"start", line("3", helloMessages+","+listMessages), `{"nodes":[]}`},
		{
			"call", line("3", `["JobIn",1564119492,1,0,4569004829183723,-1,0,3000000000,null,0,0]`),
			`{"nodes":[{"node_id":3,"orders":[["HandOff",1564119492,"10.0.0.1:80",0],["WakeAt",1,333333332]]}]}`,
		},
		{"unknown kind of event", line("3", `["Novelty",1,2]`), `{"nodes":[]}`},
		{
			"full, with a wait", line("3", `["Verdict",1564119492,0,"10.0.0.1:80","busy",20000000,false,19203,[1,2,-1,null]]`),
			`{"nodes":[{"node_id":3,"orders":[["HandOff",1564119492,"10.0.0.2:80",0]]}]}`,
		},
		{"unasked report", line("3", `["Pong",0,"done","10.0.0.1:80",[40,80,-1,-1]]`), `{"nodes":[]}`},
		{"killed", line("3", `["Killed"]`), `{"nodes":[]}`},
		{"after the kill", line("3", `["Timer",7]`), `{"nodes":[]}`},
		{
			"killed and back in one batch",
			line("3", `["Timer",7],["Killed"],`+helloMessages+","+listMessages+`,["JobIn",9,1,0,0,-1,0,3000000000,null,0,0]`),
			`{"nodes":[{"node_id":3,"orders":[["HandOff",9,"10.0.0.1:80",0],["WakeAt",1,333333332]]}]}`,
		},
	} {
		got, err := host.Batch([]byte(step.in), nil)
		if err != nil {
			t.Fatalf("%s: %v", step.name, err)
		}
		if reply := strings.TrimSpace(string(got)); reply != step.want {
			t.Errorf("%s: reply %s, want %s", step.name, reply, step.want)
		}
	}
}

func TestHost_BatchNamesMalformedPart(t *testing.T) {
	for name, test := range map[string]struct{ in, want string }{
		"no JSON":          {`{"clock":`, "not a batch"},
		"another shape":    {`[1,2]`, "not a batch"},
		"no clock":         {`{"nodes":[]}`, "clock"},
		"no node":          {`{"clock":1,"nodes":[{"news":[]}]}`, "node_id"},
		"unknown instance": {line("8", `["Timer",1]`), "unknown instance"},
		"not an array":     {line("3", `{"a":1}`), "not an array"},
		"empty array":      {line("3", `[]`), "empty array"},
		"number for text":  {line("3", `["Pong",0,"done",17,[1]]`), "Pong: server"},
		"text for number":  {line("3", `["Hangup","x"]`), "Hangup: txn"},
		"fraction for id":  {line("3", `["Hangup",1.5]`), "Hangup: txn"},
		"no such Census":   {line("3", `["Endpoints","full",4,9]`), "Census"},
		"entry not a row":  {line("3", `["Census",1,[7]]`), "Census"},
		"bad settings":     {line("4", `["Hello",5,{"balancers":0}]`), "Classes is empty"},
		"negative setting": {line("4", strings.Replace(helloMessages, `"promise":2`, `"promise":-2`, 1)), "Classes[0]"},
		"settings of type": {line("4", `["Hello",5,{"balancers":"two"}]`), "Hello: settings"},
		"settings missing": {line("4", `["Hello",5]`), "Hello: settings"},
		"name not text":    {line("3", `[5]`), "name"},
	} {
		h := NewHost()
		if _, err := h.Batch([]byte(line("3", helloMessages+","+listMessages)), nil); err != nil {
			t.Fatal(err)
		}
		if _, err := h.Batch([]byte(test.in), nil); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want one that says %q", name, err, test.want)
		}
	}
}

func TestHost_DecodesOutcome(t *testing.T) {
	host := NewHost()
	names := []string{"idle", "circuits", "recent_ms", "max_rate"}
	for _, test := range []struct {
		in   string
		want string
	}{
		{`["Verdict",7,1,"a","busy",20,false,19203,[1,2,30,4]]`, "cause 3 wait 1.2s"},
		{`["Verdict",7,1,"a","busy",20,false,18,null]`, "cause 2 wait 0s"},
		{`["Verdict",7,1,"a","err",20,false,4,null]`, "cause 4 wait 0s"},
	} {
		v, err := openRow([]byte(test.in))
		if err != nil {
			t.Fatal(err)
		}
		e, err := host.decodeEvent(v, names)
		if err != nil {
			t.Fatal(err)
		}
		if got := describe(e); got != test.want {
			t.Errorf("%s: %s, want %s", test.in, got, test.want)
		}
	}
}

func describe(e eidertrail.Event) string {
	o := e.(eidertrail.Outcome)
	return fmt.Sprintf("cause %d wait %v", o.Cause, o.RetryAfter)
}

// A rejection carries a Retry-After where the settings allow it, and only there.
func TestHost_RetryAfterOnlyWhereAllowed(t *testing.T) {
	for retryAfter, want := range map[bool]string{
		false: `["Reject",7]`, true: `["Reject",7,100000000]`,
	} {
		h := NewHost()
		settings := fmt.Sprintf(`{"balancers":1,"caps":{"retry_after":%v,"max_retry_after":100000000},`+
			`"request_classes":[{"name":"a","promise":1000000000,"deadline":2000000000}]}`, retryAfter)
		lines := []string{
			`{"clock":1,"nodes":[{"node_id":0,"news":[["Census",0,[]],["Hello",1,` + settings + `],["Endpoints","cached",1,0],` +
				`["JobIn",7,1,0,5,-1,0,1500000000,null,0,0]]}]}`,
			`{"clock":1400000000,"nodes":[{"node_id":0,"news":[["Timer",1]]}]}`,
		}
		var reply []byte
		for _, line := range lines {
			var err error
			if reply, err = h.Batch([]byte(line), nil); err != nil {
				t.Fatal(err)
			}
		}
		if !strings.Contains(string(reply), want) {
			t.Errorf("retry_after %v: %s, want %s", retryAfter, reply, want)
		}
	}
}
