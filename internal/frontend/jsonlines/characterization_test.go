// The tests of this file are characterisation tests: they record what callers send and get over the platform's wire,
// byte for byte, what reaches the pools, what is logged and what is counted, so that a change of names or shape in the
// code can be shown to change nothing else. The recorded files are in testdata/characterization. On a purposeful change
// they are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/frontend/jsonlines -run TestCharacterization
//
// and the commit has to say why they changed.
package jsonlines_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/frontend/linecodec"
)

const (
	callID = "9b1f03aa5c7e2d41"
	setup  = `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":{"class":"voice","left":"1500","key":"7f3a",` +
		`"extras":"dest:0;width:1;via:-1"},"sdp":"v=0"}`
	release = `{"type":"release","id":"9b1f03aa5c7e2d41","fields":{},"cause":16}`
)

// numbered is a line about the call of that number.
func numbered(line string, n int) string {
	return strings.ReplaceAll(line, callID, fmt.Sprintf("%016x", n))
}

// oneLine are scenarios in which a caller of its own writes one line each.
func oneLine(lines []string) []scenario {
	all := make([]scenario, len(lines))
	for i, line := range lines {
		all[i] = scenario{fmt.Sprintf("line %d", i+1), func(p *platform) {
			p.say(p.dial(), line)
		}}
	}
	return all
}

// each gives a line for each of the values.
func each(values []string, line func(value string) string) []string {
	lines := make([]string, len(values))
	for i, value := range values {
		lines[i] = line(value)
	}
	return lines
}

func TestCharacterization_SetUps(t *testing.T) {
	head, tail := `{"type":"setup","id":"9b1f03aa5c7e2d41","fields":`, `,"sdp":"v=0"}`
	lines := []string{setup}
	lines = append(lines, each([]string{
		`{"class":"voice","left":"1500"}`,
		`{"class":"voice","left":1500,"key":"HOTEL-1._+"}`,
		`{"class":"once","left":"1500","key":"7f3a"}`,
		`{"class":"voice","left":"1500","key":42}`, `{"class":"voice","left":"1e3"}`, `{"class":"voice","left":"1500.75"}`,
		`{"class":"voice","left":"0x10p4"}`, `{"class":"voice","left":" 1500"}`, `{"class":"voice","left":"1_500"}`,
		`{"class":"voice","left":"0"}`,
		`{"class":"voice","left":"20"}`,
		`{"class":"voice","left":"-1"}`,
		`{"class":"voice","left":"nan"}`,
		`{"class":"voice","left":"inf"}`, `{"class":"voice","left":"1e9"}`, `{"class":"voice","left":"1000000001"}`,
		`{"class":"voice","left":"soon"}`,
		`{"class":"voice","left":""}`,
		`{"class":"voice","left":true}`,
		`{"class":"voice"}`,
		`{"left":"1500"}`,
		`{"class":"fax","left":"1500"}`,
		`{"class":"VOICE","left":"1500"}`,
		`{"class":7,"left":"1500"}`,
		`{}`,
		`{"class":"voice","left":"1500","key":"a b"}`,
		`{"class":"voice","left":"1500","key":"a\r\nBYE"}`,
		`{"class":"voice","left":"1500","key":"é"}`,
		`{"class":"voice","left":"1500","key":"` + strings.Repeat("k", 64) + `"}`,
		`{"class":"voice","left":"1500","key":"` + strings.Repeat("k", 65) + `"}`,
		`{"class":"voice","left":"1500","tenant":"acme"}`, `{"class":"voice","left":"1500","tenant":"globex"}`,
		`{"class":"voice","left":"1500","tenant":"nobody"}`,
		`{"class":"voice","left":"1500","tenant":""}`,
		`{"class":"voice","left":"1500","tenant":7}`,
		`{"class":"voice","left":"1500","extras":""}`, `{"class":"voice","left":"1500","extras":"dest:2"}`,
		`{"class":"voice","left":"1500","extras":"dest:-1;width:1;via:-1"}`,
		`{"class":"voice","left":"1500","extras":"via:3;width:2;dest:1.9"}`,
		`{"class":"voice","left":"1500","extras":"unheard:5"}`, `{"class":"voice","left":"1500","extras":":5"}`,
		`{"class":"voice","left":"1500","extras":"dest"}`, `{"class":"voice","left":"1500","extras":"dest:"}`,
		`{"class":"voice","left":"1500","extras":"dest:two"}`, `{"class":"voice","left":"1500","extras":"dest:nan"}`,
		`{"class":"voice","left":"1500","extras":"dest:inf"}`, `{"class":"voice","left":"1500","extras":"dest:-2"}`,
		`{"class":"voice","left":"1500","extras":"dest:1e6"}`, `{"class":"voice","left":"1500","extras":"dest:999999"}`,
		`{"class":"voice","left":"1500","extras":"width:0"}`, `{"class":"voice","left":"1500","extras":"width:0.5"}`,
		`{"class":"voice","left":"1500","extras":"dest:1;"}`,
		`{"class":"voice","left":"1500","extras":"dest:1,width:1"}`,
		`7`,
		`null`,
		`"x"`,
		`[]`,
		`{"class":"fax","left":"soon","key":"a b","tenant":"nobody","extras":"x"}`,
		`{"class":"fax","left":"soon","key":"a b"}`,
	}, func(fields string) string {
		return head + fields + tail
	})...)
	fields := `,"fields":{"class":"voice","left":"1500"}`
	lines = append(lines, each([]string{
		`"id":"9B1F03AA5C7E2D41"` + fields, `"id":"9b1f03aa5c7e2d4"` + fields, `"id":"9b1f03aa5c7e2d411"` + fields,
		`"id":"9b1f03aa5c7e2d4g"` + fields,
		`"id":"a-name.pools+cannot_read"` + fields,
		`"id":"` + strings.Repeat("a", 64) + `"` + fields,
		`"id":"` + strings.Repeat("a", 65) + `"` + fields,
		`"id":"` + strings.Repeat("b", 120) + `","fields":7`,
		`"id":"a b"` + fields,
		`"id":""` + fields,
		`"id":"é"` + fields, `"id":7` + fields, fields[1:], `"id":"` + callID + `"`, `"id":"` + callID + `"` + fields,
		`"id":"` + callID + `"` + fields + `,"sdp":""`,
		`"id":"` + callID + `"` + fields + `,"sdp":7`,
		`"id":"` + callID + `"` + fields + `,"cause":"x"`,
		`"id":"` + callID + `"` + fields + `,"sdp":"\u0000\"\\é\ud83d\ude00\r\n"`,
		`"id":"` + callID + `"` + fields + `,"sdp":"` + strings.Repeat("s", 15<<10) + `"`,
		`"id":"` + callID + `"` + fields + `,"sdp":"` + strings.Repeat("s", 15<<10+1) + `"`,
		`"sdp":7,"id":"` + callID + `"` + fields,
	}, func(members string) string {
		return `{"type":"setup",` + members + `}`
	})...)
	play(t, "set-ups.txt", defaultSetting(), oneLine(lines))
}

func TestCharacterization_OtherLines(t *testing.T) {
	lines := []string{
		`{"type":"release","id":"` + callID + `","cause":16}`,
		`{"type":"release","id":"` + callID + `"}`,
		`{"type":"release","id":"` + callID + `","cause":-3}`,
		`{"type":"release","id":"` + callID + `","cause":0}`, `{"type":"release","id":"` + callID + `","cause":31.9}`,
		`{"type":"release","id":"` + callID + `","cause":1000}`,
		`{"type":"release","id":"` + callID + `","cause":"16"}`,
		`{"type":"release","id":"x"}`,
		`{"type":"release"}`, `{"type":"cancel","id":"` + callID + `"}`,
		`{"type":"ping","id":"p1","fields":{},"cause":0}`,
		`{"type":"ping"}`,
		`{"type":"ping","id":"\"\\\u0000\u007f\té\ud83d\ude00"}`,
		`{"type":"ping","id":"\ud800"}`,
		"{\"type\":\"ping\",\"id\":\"\xff\"}",
		`{"type":"ping","id":7}`,
		`{"type":"progress","id":"x"}`,
		`{"type":"released","id":"x"}`,
		`{"type":"pong","id":"x","cause":1}`,
		`{"type":"state","id":"x"}`,
		`{"type":"answer","id":"x"}`,
		`{"type":"dance","id":"x"}`,
		`{"type":"` + strings.Repeat("d", 60) + `","id":"x"}`,
		`{"type":"Setup"}`,
		``,
		` `,
		`nonsense`,
		`7`,
		`null`,
		`[]`,
		`"setup"`,
		`{}`,
		`{"a":1}`,
		`{"type":7,"id":"x"}`,
		`{"type":"","id":"x"}`,
		setup[:len(setup)-1],
		setup + ` x`,
		setup + setup,
		"\xef\xbb\xbf" + setup, setup + "\r", " \t" + setup + " \t\r\r",
		`{"type":"ping","id":"p"` + strings.Repeat(" ", linecodec.MaxLine-25) + `}`,
		`{"type":"ping","id":"p"` + strings.Repeat(" ", linecodec.MaxLine-24) + `}`,
		strings.Repeat("x", 2*linecodec.MaxLine), `{"type":"ping","id":"` + strings.Repeat("p", 8000) + `"}`,
	}
	all := oneLine(lines)
	all = append(all,
		scenario{"a ping while the program is not ready", func(p *platform) {
			p.ready = false
			p.say(p.dial(), `{"type":"ping","id":"p2","fields":{},"cause":0}`)
		}},
		scenario{"two lines at once and one in parts", func(p *platform) {
			c := p.dial()
			p.write(c, `{"type":"ping","id":"p1"}`+"\n"+`{"type":"ping","id":"p2"}`+"\n"+`{"type":"pi`)
			p.write(c, `ng","id":"p3"`)
			p.write(c, "}\n")
		}},
		scenario{"half a line, and the caller closes", func(p *platform) {
			c := p.dial()
			p.write(c, setup[:40])
			p.hangUp(c)
		}},
	)
	play(t, "other-lines.txt", defaultSetting(), all)
}

func TestCharacterization_AnyTenant(t *testing.T) {
	s := defaultSetting()
	s.tenants = nil
	line := strings.Replace(setup, `"key"`, `"tenant":"nobody","key"`, 1)
	play(t, "any-tenant.txt", s, oneLine([]string{line}))
}

// The extras name the pool of first choice.
func TestCharacterization_FirstChoice(t *testing.T) {
	settings := defaultSetting()
	settings.pools = []dispatch.Endpoint{{UID: "a", Group: 0}, {UID: "b", Group: 1}, {UID: "c", Group: 2}}
	lines := each([]string{
		"dest:0",
		"dest:1",
		"dest:2",
		"dest:2.9",
		"dest:0;dest:1",
		"via:2;width:1",
		"dest:1;via:0;width:3",
		"Dest:1",
		"dest:7",
	}, func(extras string) string {
		return strings.Replace(setup, "dest:0;width:1;via:-1", extras, 1)
	})
	play(t, "first-choice.txt", settings, oneLine(lines))
}

func TestCharacterization_Calls(t *testing.T) {
	play(t, "calls.txt", defaultSetting(), []scenario{
		{"answered and released by the caller, then released again", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.say(c, release)
			p.say(c, release)
			p.say(c, setup)
		}},
		{"released without a cause on another connection", func(p *platform) {
			c, other := p.dial(), p.dial()
			p.say(c, setup)
			p.say(other, `{"type":"release","id":"`+callID+`"}`)
		}},
		{"released with odd causes", func(p *platform) {
			c := p.dial()
			for i, cause := range []string{"0", "-3", "1000", "31.9"} {
				p.say(c, numbered(setup, i))
				p.say(c, numbered(`{"type":"release","id":"`+callID+`","cause":`+cause+`}`, i))
			}
		}},
		{"ended by the pool", func(p *platform) {
			c := p.dial()
			for i, cause := range []int{16, 41, 0} {
				p.say(c, numbered(setup, i))
				p.Add("the pool ends the call with cause %d", cause)
				p.pools.Legs[i].End(dispatch.Ended, cause)
				p.observe()
			}
		}},
		{"ended by the pool while no connection is there", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.hangUp(c)
			p.Add("the pool ends the call")
			p.pools.Legs[0].End(dispatch.Reset, 41)
			p.observe()
			p.dial()
			p.observe()
			p.wait(399 * time.Millisecond)
			p.wait(2 * time.Millisecond)
		}},
		{"cancelled before the answer", func(p *platform) {
			p.pools.Outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, setup)
			p.say(c, release)
			p.wait(3 * time.Second)
			p.say(c, release)
		}},
		{"the caller closes before the answer", func(p *platform) {
			p.pools.Outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, setup)
			p.hangUp(c)
			p.say(p.dial(), setup)
		}},
		{"a cancel that overtakes its set-up", func(p *platform) {
			c, other := p.dial(), p.dial()
			p.say(other, release)
			p.say(c, setup)
			p.wait(2 * time.Second)
		}},
		{"one id twice on one connection, while the first is out", func(p *platform) {
			p.pools.Outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, setup)
			p.say(c, setup)
		}},
		{"one id twice on one connection, while the first stands", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.say(c, setup)
		}},
		{"one id twice on one connection, the second malformed", func(p *platform) {
			p.pools.Outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, setup)
			p.say(c, `{"type":"setup","id":"`+callID+`","fields":7}`)
		}},
		{"one id on two connections", func(p *platform) {
			p.pools.Outcome = dispatch.TimedOut
			c, other := p.dial(), p.dial()
			p.say(c, setup)
			p.say(other, setup)
		}},
		{"one id twice, the first over", func(p *platform) {
			c, other := p.dial(), p.dial()
			p.say(c, setup)
			p.say(c, release)
			p.say(other, setup)
		}},
		{"answers with descriptions of many kinds", func(p *platform) {
			c := p.dial()
			for i, sdp := range []string{
				"",
				"v=0\r\né\"\\\t\x00\x7f\u2028\U0001f600",
				"\xff\xc3",
				strings.Repeat("s", 12_000),
			} {
				p.pools.SDP = sdp
				p.say(c, numbered(setup, i))
			}
		}},
	})
}

func TestCharacterization_FinalCauses(t *testing.T) {
	endings := []struct {
		name    string
		outcome dispatch.Outcome
	}{
		{"no agent", dispatch.NoAgent},
		{"processor full", dispatch.ProcessorFull},
		{"lines busy", dispatch.LinesBusy},
		{"error", dispatch.Errored},
		{"reset", dispatch.Reset},
		{"connect failed", dispatch.ConnectFailed},
		{"moot", dispatch.NotSent},
		{"timed out", dispatch.TimedOut},
	}
	classNames := []string{"voice", "once"}
	timesLeft := []string{"200", "1500"}
	all := make([]scenario, 0, len(endings)*len(classNames)*len(timesLeft)+len(classNames))
	for _, ending := range endings {
		for _, class := range classNames {
			for _, left := range timesLeft {
				all = append(all, scenario{ending.name + ", class " + class + ", " + left + " ms left", func(p *platform) {
					p.pools.Outcome = ending.outcome
					p.say(p.dial(), strings.NewReplacer("voice", class, "1500", left).Replace(setup))
					p.wait(3 * time.Second)
				}})
			}
		}
	}
	for _, class := range classNames {
		all = append(all, scenario{"given up with an attempt out, class " + class, func(p *platform) {
			p.pools.Outcome = dispatch.TimedOut
			c := p.dial()
			p.say(c, strings.Replace(setup, "voice", class, 1))
			p.Add("everything is given up")
			p.calls.AbortPending()
			p.observe()
			p.say(c, strings.Replace(numbered(setup, 1), "voice", class, 1))
		}})
	}
	play(t, "final-causes.txt", defaultSetting(), all)
}

func TestCharacterization_Trace(t *testing.T) {
	s := defaultSetting()
	s.level = zerolog.DebugLevel
	play(t, "trace.txt", s, []scenario{
		{"a call", func(p *platform) {
			c := p.dial()
			p.say(c, setup)
			p.say(c, release)
			p.say(c, "")
			p.say(c, `{"type":"dance","id":"x"}`)
		}},
	})
}
