package sippool

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
)

func TestReceive_UnmatchedReleasesAndLoadReports(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.remote.Notify("idle:12;circuits:40;reduce:-1;recent_ms:x")
		r.remote.Bye("00000000000000aa", 16) // established before a restart of this process
		synctest.Wait()
		if len(r.reported) != 1 || len(r.unmatched) != 1 || r.unmatched[0] != "00000000000000aa" {
			t.Errorf("reported %v, unmatched %v", r.reported, r.unmatched)
		}
		r.ReleaseUnmatched("00000000000000aa", 16) // has ended recently: it is not forwarded
		r.wantRequests("")
		r.ReleaseUnmatched("00000000000000bb", 16)
		r.wantRequests("BYE")
	})
}

func TestReceive_InvalidMessages(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.remote.Send("DANCE sip:x@net SIP/2.0\r\nCall-ID: a\r\nCSeq: 1 DANCE\r\nContent-Length: 0\r\n\r\n")
		r.remote.Send("SIP/2.0 200 OK\r\nCall-ID: nobody\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n")
		// The answer to no INVITE is released.
		if got, _ := r.requests(); got != "ACK BYE" || r.remote.OpenConnections() != 1 {
			t.Errorf("pool got %q", got)
		}
		r.remote.Send("SIP/2.0 200 OK\r\nContent-Length: -1\r\n\r\n") // framing is lost: a new connection
		time.Sleep(time.Second)
		call := r.invite("c1", 0, time.Minute)
		r.lastInvite().Answer(200, "", "a\r\n")
		r.wantOutcome(call, dispatch.Answered)
	})
}

// A malformed response to an INVITE is not passed on as an answer. It ends the connection, for every pending INVITE,
// and the calls that the pool may have set up are released. Without that, a message that stops short would keep the
// connection open for good: every INVITE would time out, and no release would be received.
func TestReceive_MalformedInviteResponseEndsTheConnection(t *testing.T) {
	head := "SIP/2.0 200 OK\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\n"
	for name, text := range map[string]string{
		"noise":        "\x00\xff\x17noise\r\n\r\n\r\n\r\n",
		"version":      strings.Replace(head, "2.0", "9.9", 1) + "Content-Length: 3\r\n\r\na\r\n",
		"header":       head + "no colon\r\nContent-Length: 3\r\n\r\na\r\n",
		"length":       head + "Content-Length: x\r\n\r\na\r\n",
		"3 GB":         head + "Content-Length: 3000000000\r\n\r\na\r\n",
		"endless line": head + "X: " + strings.Repeat("y", 20<<10),
		"stops short":  head + "Content-Length: 300\r\n\r\na\r\n",
		"half a head":  head[:20],
		"too short":    head + "Content-Length: 2\r\n\r\na\r\n",
		"swallows":     head + "Content-Length: 50\r\n\r\na\r\nSIP/2.0 200 OK\r\nCall-ID: c2\r\nCSeq: 1 INVITE\r\n\r\n",
		"body noise":   head + "Content-Length: 6\r\n\r\n\x00\xff\xfe\x01\r\n",
		"empty":        head + "Content-Length: 0\r\n\r\n",
		"failure":      "SIP/2.0 503 X\r\nCall-ID: c1\r\nCSeq: 1 INVITE\r\nContent-Length: 6\r\n\r\n\x00\xff\xfe\x01\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(r *rig) {
				first, second := r.invite("c1", 0, time.Minute), r.invite("c2", 0, time.Minute)
				r.wantRequests("INVITE INVITE")
				r.remote.Send(text)
				time.Sleep(partialMessageTimeout + 100*time.Millisecond)
				r.wantOutcome(first, dispatch.Reset)
				r.wantOutcome(second, dispatch.Reset)
				if got, _ := r.requests(); !strings.HasSuffix(got, "BYE BYE") || r.EstablishedCalls() != 0 {
					t.Errorf("pool got %q, %d established", got, r.EstablishedCalls())
				}
			})
		})
	}
}
