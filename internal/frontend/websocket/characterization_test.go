// The tests of this file are characterisation tests: they record what clients of the call-control API send and get over
// WebSocket, byte for byte, every error code with its text, every close code with its reason, what reaches the pools,
// what is logged and what is counted, so that a change of names or shape in the code can be shown to change nothing
// else. The recorded files are in testdata/characterization. On a purposeful change they are written anew with
//
//	EIDERTRAIL_UPDATE=1 go test ./internal/frontend/websocket -run TestCharacterization
//
// and the commit has to say why they changed.
package websocket_test

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"eidertrail"
	"eidertrail/dispatch"
)

const (
	setup   = `{"type":"setup","id":"c1","class":"read","number":"7f3a","pool":0,"left_ms":1500,"sdp":"v=0\r\n"}`
	cancel  = `{"type":"cancel","id":"c1"}`
	release = `{"type":"release","id":"c1","cause":31}`
	status  = `{"type":"ping","id":"x"}`
)

// setupOf is the set-up of the call with that id.
func setupOf(id string) string { return strings.Replace(setup, `"c1"`, strconv.Quote(id), 1) }

// oneMessage are scenarios in which a client of its own writes one message each.
func oneMessage(messages []string) []scenario {
	all := make([]scenario, len(messages))
	for i, message := range messages {
		all[i] = scenario{fmt.Sprintf("message %d", i+1), func(s *service) { s.say(s.open("a"), message) }}
	}
	return all
}

// setupsWith are set-ups in which a text is replaced, by the prefix and one value each.
func setupsWith(text, prefix string, values ...string) []string {
	setups := make([]string, len(values))
	for i, value := range values {
		setups[i] = strings.Replace(setup, text, prefix+value, 1)
	}
	return setups
}

// releasesWith are releases with one cause each.
func releasesWith(causes ...string) []string {
	releases := make([]string, len(causes))
	for i, cause := range causes {
		releases[i] = `{"type":"release","id":"c1","cause":` + cause + `}`
	}
	return releases
}

func TestCharacterization_SetUps(t *testing.T) {
	messages := slices.Concat([]string{
		setup, strings.Replace(setup, `"number":"7f3a",`, ``, 1), strings.Replace(setup, `"pool":0,`, ``, 1),
		strings.Replace(setup, `"class":"read",`, ``, 1), strings.Replace(setup, `"left_ms":1500,`, ``, 1),
		strings.Replace(setup, `,"sdp":"v=0\r\n"`, ``, 1),
		strings.Replace(setup, `"id":"c1",`, ``, 1),
		strings.Replace(setup, `"type":"setup",`, ``, 1),
	}, setupsWith(`"pool":0`, `"pool":`,
		`1`, `-1`, `7`, `1.5`, `1e9`, `3000000000`, `"1"`, `null`, `true`,
	), setupsWith(`"left_ms":1500`, `"left_ms":`,
		`0`,
		`20`,
		`21`,
		`0.5`,
		`1e9`,
		`1000000001`,
		`-1`,
		`1e400`,
		`"1500"`,
		`null`,
		`true`,
		`{}`,
	), setupsWith(`"read"`, ``,
		`""`, `"fax"`, `"READ"`, `"once"`, `7`, `null`, `["read"]`,
	), setupsWith(`"7f3a"`, ``,
		`""`,
		`"HOTEL-1._+"`,
		`"a b"`,
		`"a\r\nBYE"`,
		`"é"`,
		`7`,
		`null`,
		`"`+strings.Repeat("k", 64)+`"`,
		`"`+strings.Repeat("k", 65)+`"`,
	), setupsWith(`"c1"`, ``,
		`""`,
		`"c 1"`,
		`"é"`,
		`"\u0063\u0031"`,
		`7`,
		`null`,
		`"`+strings.Repeat("i", 64)+`"`,
		`"`+strings.Repeat("i", 65)+`"`,
		`"\"\\\u0000"`,
	), setupsWith(`"v=0\r\n"`, ``,
		`""`,
		`7`,
		`null`,
		`"\u0000\"\\é\ud83d\ude00\ud800"`,
		`"`+strings.Repeat("s", 15<<10)+`"`,
		`"`+strings.Repeat("s", 15<<10+1)+`"`,
	), []string{
		`{"type":"setup","id":7,"class":7,"number":7,"pool":"x","left_ms":"x","sdp":7}`,
		`{"type":"setup","id":"c 1","class":"fax","number":"a b","left_ms":-1}`,
		`{"type":"setup","id":"c1","class":"fax","number":"a b","left_ms":-1}`,
		`{"type":"setup","id":"c1","class":"read","number":"a b","left_ms":-1}`, `{"type":"setup","id":"c1"}`,
	})
	play(t, "set-ups.txt", oneMessage(messages))
}

func TestCharacterization_OtherMessages(t *testing.T) {
	messages := []string{
		status,
		`{"type":"ping"}`,
		`{"type":"ping","id":""}`,
		`{"type":"ping","id":7}`,
		`{"type":"ping","id":"\"\\\u0000\u007f\té\ud83d\ude00"}`,
		`{"type":"ping","id":"` + strings.Repeat("p", 8000) + `"}`,
		"{\"type\":\"ping\",\"id\":\"\xff\"}",
		`{"type":"ping","id":"\ud800"}`,
		cancel,
		`{"type":"cancel"}`,
		`{"type":"cancel","id":7}`,
		`{"type":"cancel","id":""}`,
		`{"type":"cancel","id":"c 1"}`,
		`{"type":"cancel","id":"c1","cause":"x"}`,
		release, `{"type":"release","id":"c1"}`, `{"type":"release"}`, `{"type":"release","id":7}`,
		`{"type":"dance","id":"x"}`,
		`{"type":"dance"}`,
		`{"type":"Setup","id":"x"}`,
		`{"type":"","id":"x"}`,
		`{"type":7,"id":"x"}`,
		`{"type":null,"id":"x"}`,
		`{"id":"x"}`,
		`{}`,
		`[]`,
		`7`,
		`null`,
		`"setup"`,
		``,
		` `,
		`nonsense`,
		setup[:len(setup)-1],
		setup + `x`,
		"\xef\xbb\xbf" + setup,
		" \t\r\n" + setup + "\n",
		`{"type":"ping","type":"dance","id":"x","id":"y"}`, `{"ty\u0070e":"ping","i\u0064":"x"}`,
	}
	causes := releasesWith(`1`, `127`, `0`, `128`, `-1`, `16.5`, `1e9`, `3e9`, `"16"`, `null`)
	all := oneMessage(slices.Concat(messages, causes))
	all = append(all, scenario{"a ping while the program is not ready", func(s *service) {
		s.ready = false
		s.say(s.open("a"), status)
	}})
	play(t, "other-messages.txt", all)
}

func TestCharacterization_Calls(t *testing.T) {
	play(t, "calls.txt", []scenario{
		{"answered, released, released again", func(s *service) {
			c := s.open("a")
			s.say(c, setup)
			s.say(c, release)
			s.say(c, release)
			s.say(c, cancel)
			s.say(c, setup) // an id that is not in use any more
		}},
		{"released without a cause on another socket of the site", func(s *service) {
			c, other := s.open("a"), s.open("a")
			s.say(c, setup)
			s.say(other, `{"type":"release","id":"c1"}`)
		}},
		{"cancelled while it stands", func(s *service) {
			c := s.open("a")
			s.say(c, setup)
			s.say(c, cancel)
		}},
		{"released by another site", func(s *service) {
			c, other := s.open("a"), s.open("b")
			s.say(c, setup)
			s.say(other, release)
		}},
		{"ended by the pool", func(s *service) {
			c := s.open("a")
			for i, cause := range []int{16, 41, 0} {
				s.say(c, setupOf(fmt.Sprintf("c%d", i)))
				s.Add("the pool ends the call with cause %d", cause)
				s.pools.Legs[i].End(dispatch.Ended, cause)
				s.observe()
			}
		}},
		{"ended by the pool while the site has no socket", func(s *service) {
			c := s.open("a")
			s.say(c, setup)
			s.hangUp(c)
			s.Add("the pool ends the call")
			s.pools.Legs[0].End(dispatch.Reset, 41)
			s.observe()
			s.open("b")
			s.open("a")
			s.observe()
		}},
		{"cancelled before the answer", func(s *service) {
			s.pools.Outcome = dispatch.TimedOut
			c := s.open("a")
			s.say(c, setup)
			s.say(c, cancel)
			s.wait(2 * time.Second)
			s.say(c, cancel)
		}},
		{"released before the answer", func(s *service) {
			s.pools.Outcome = dispatch.TimedOut
			c := s.open("a")
			s.say(c, setup)
			s.say(c, release)
			s.wait(2 * time.Second)
		}},
		{"the socket closes before the answer", func(s *service) {
			s.pools.Outcome = dispatch.TimedOut
			c := s.open("a")
			s.say(c, setup)
			s.hangUp(c)
			s.wait(2 * time.Second)
		}},
		{"one id twice", func(s *service) {
			s.pools.Outcome = dispatch.TimedOut
			c, other, site := s.open("a"), s.open("a"), s.open("b")
			s.say(c, setup)
			s.say(c, setup)
			s.say(other, setup)
			s.say(site, setup)
		}},
		{"one id twice, the first stands", func(s *service) {
			c := s.open("a")
			s.say(c, setup)
			s.say(c, setup)
		}},
		{"answers with descriptions of many kinds", func(s *service) {
			c := s.open("a")
			for i, sdp := range []string{
				"",
				"v=0\r\né\"\\\t\x00\x7f\u2028\U0001f600",
				"\xff\xc3",
				strings.Repeat("s", 12_000),
			} {
				s.pools.SDP = sdp
				s.say(c, setupOf(fmt.Sprintf("c%d", i)))
			}
		}},
	})
}

func TestCharacterization_FinalAnswers(t *testing.T) {
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
	classNames := []string{"read", "once"}
	all := make([]scenario, 0, len(endings)*len(classNames)+1)
	for _, ending := range endings {
		for _, class := range classNames {
			all = append(all, scenario{ending.name + ", class " + class, func(s *service) {
				s.pools.Outcome = ending.outcome
				s.say(s.open("a"), strings.Replace(setup, "read", class, 1))
				s.wait(3 * time.Second)
			}})
		}
	}
	all = append(all, scenario{"no pool", func(s *service) {
		s.roster(eidertrail.Removed)
		s.say(s.open("a"), setup)
		s.wait(3 * time.Second)
	}})
	play(t, "final-answers.txt", all)
}

func TestCharacterization_Bounds(t *testing.T) {
	play(t, "bounds.txt", []scenario{
		{"more set-ups than a socket and a site may have", func(s *service) {
			s.pools.Outcome, s.pools.Muted = dispatch.TimedOut, true
			for range 2 {
				c := s.open("a")
				for i := range 1024 {
					s.sayQuietly(c, setupOf(fmt.Sprintf("%s-%d", strings.Fields(c.name)[1], i)))
				}
				s.observe()
				s.say(c, setup)
			}
			s.say(s.open("a"), setup)
			s.say(s.open("b"), setup)
		}},
		{"messages that are not accepted", func(s *service) {
			c := s.open("a")
			for range 63 {
				s.sayQuietly(c, cancel)
			}
			c.take()
			s.log.Take()
			s.say(c, cancel)
			s.say(c, cancel)
		}},
		{"more sockets than there may be, none has said anything", func(s *service) {
			for range maxSockets {
				s.open("a")
			}
			s.open("a")
			s.observe()
		}},
		{"more sockets than there may be, all have said something", func(s *service) {
			for range maxSockets {
				s.sayQuietly(s.open("a"), status)
			}
			for _, c := range s.clients {
				c.take()
			}
			c := s.connect()
			s.upgrade(c, "/?site=a", upgradeHeader()...)
		}},
		{"more sites than there may be", func(s *service) {
			for i := range 64 {
				s.open(fmt.Sprintf("site-%d", i))
			}
			c := s.connect()
			s.upgrade(c, "/?site=one-more", upgradeHeader()...)
		}},
	})
}

func TestCharacterization_Closes(t *testing.T) {
	long := `{"type":"ping","id":"x"` + strings.Repeat(" ", 16<<10-24) + `}`
	play(t, "closes.txt", []scenario{
		{"a binary message", func(s *service) {
			s.write(s.open("a"), lastFrame|binaryData, setup)
			s.wait(499 * time.Millisecond)
			s.wait(2 * time.Millisecond)
			s.wait(4498 * time.Millisecond)
			s.wait(2 * time.Millisecond)
		}},
		{"the longest message", func(s *service) { s.say(s.open("a"), long) }},
		{"one byte more", func(s *service) { s.say(s.open("a"), long+" ") }},
		{"one byte more, in two frames", func(s *service) {
			c := s.open("a")
			s.write(c, text, long[:9000])
			s.write(c, lastFrame|continuation, long[9000:]+" ")
		}},
		{"a message in three frames with a ping between them", func(s *service) {
			c := s.open("a")
			s.write(c, text, setup[:10])
			s.write(c, lastFrame|ping, "beat")
			s.write(c, continuation, setup[10:50])
			s.write(c, lastFrame|continuation, setup[50:])
		}},
		{"an opcode that is not known", func(s *service) { s.write(s.open("a"), lastFrame|3, "x") }},
		{"a continuation of nothing", func(s *service) { s.write(s.open("a"), lastFrame|continuation, "x") }},
		{"the client closes with 1000", func(s *service) { s.write(s.open("a"), lastFrame|closing, "\x03\xe8done") }},
		{"the client closes with 4000", func(s *service) { s.write(s.open("a"), lastFrame|closing, "\x0f\xa0own reason") }},
		{"the client closes without a code", func(s *service) { s.write(s.open("a"), lastFrame|closing, "") }},
		{"the client closes with a code that is none", func(s *service) {
			s.write(s.open("a"), lastFrame|closing, "\x00\x01")
		}},
		{"a client that answers no pings", func(s *service) {
			s.open("a")
			s.wait(19_999 * time.Millisecond)
			s.wait(2 * time.Millisecond)
			s.wait(4_998 * time.Millisecond)
			s.wait(2 * time.Millisecond)
		}},
		{"a client that does not read", func(s *service) {
			c := s.open("a")
			c.pause()
			s.Add("%s reads no more and writes 200 pings", c.name)
			for range 200 {
				s.sayQuietly(c, status)
			}
			s.counted()
			time.Sleep(3 * time.Second)
			if _, err := c.Write(frame(lastFrame|text, status)); err != nil {
				s.Add("its connection is closed after 3 s")
			}
		}},
		{"a planned stop with nothing open", func(s *service) {
			s.open("a")
			s.Add("the server shuts down")
			go s.server.Shutdown(context.Background())
			s.observe()
			s.wait(499 * time.Millisecond)
			s.wait(2 * time.Millisecond)
			s.wait(4498 * time.Millisecond)
			s.wait(2 * time.Millisecond)
		}},
		{"a planned stop, and the client closes too", func(s *service) {
			c := s.open("a")
			s.Add("the server shuts down")
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				s.server.Shutdown(context.Background())
			}()
			s.observe()
			s.write(c, lastFrame|closing, "\x03\xe9shutting down")
			<-ended
		}},
		{"a planned stop with set-ups open", func(running *service) {
			running.pools.Outcome = dispatch.TimedOut
			c := running.open("a")
			running.say(c, setup)
			running.Add("the server shuts down")
			ctx, giveUp := context.WithCancel(context.Background())
			defer giveUp()
			go running.server.Shutdown(ctx)
			running.observe()
			running.say(c, setupOf("c2"))
			running.say(c, setupOf("c 2"))
			running.say(c, status)
			late := running.connect()
			running.upgrade(late, "/?site=a", upgradeHeader()...)
			running.Add("the server may not wait any longer")
			giveUp()
			time.Sleep(10 * time.Millisecond)
			running.observe()
		}},
	})
}

func TestCharacterization_Handshakes(t *testing.T) {
	handshake := func(target string, header ...string) scenario {
		return scenario{"asked for " + target + " " + strings.Join(header, ", "), func(s *service) {
			c := s.connect()
			s.upgrade(c, target, header...)
		}}
	}
	longest := strings.Repeat("s", 64)
	play(t, "handshakes.txt", []scenario{
		handshake("/", upgradeHeader()...),
		handshake("/call-control?site=a", upgradeHeader()...),
		handshake("/?site=a", upgradeHeader("Sec-WebSocket-Protocol: callcontrol.v1")...),
		handshake("/?site=a", upgradeHeader("Sec-WebSocket-Protocol: other, callcontrol.v1")...),
		handshake("/?site=a", upgradeHeader("Sec-WebSocket-Protocol: other")...),
		handshake("/?site=a", upgradeHeader("Sec-WebSocket-Extensions: permessage-deflate")...),
		handshake("/?site=", upgradeHeader()...),
		handshake("/?site=a%20b", upgradeHeader()...),
		handshake("/?site="+longest, upgradeHeader()...),
		handshake("/?site="+longest+"s", upgradeHeader()...),
		handshake("/?site=a", upgradeHeader("Origin: http://controller")...),
		handshake("/?site=a", upgradeHeader("Origin: http://elsewhere.example")...),
		handshake("/?site=a"),
		handshake(
			"/?site=a",
			"Connection: Upgrade",
			"Upgrade: websocket",
			"Sec-WebSocket-Version: 12",
			"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
		),
		{"an origin that was admitted", func(s *service) {
			s.server.UpdateLimits([]string{"*.example"}, maxSockets)
			c := s.connect()
			s.upgrade(c, "/?site=a", upgradeHeader("Origin: http://elsewhere.example")...)
		}},
		{"no sockets any more", func(s *service) {
			s.server.UpdateLimits(nil, 0)
			c := s.connect()
			s.upgrade(c, "/?site=a", upgradeHeader()...)
		}},
	})
}
