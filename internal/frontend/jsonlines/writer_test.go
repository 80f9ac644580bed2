package jsonlines

import (
	"bufio"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/telemetry"
)

// Without redelivery, the ends of calls would be lost with the connection in whose queue they were.
func TestConn_UnwrittenCallEndsAreRedelivered(t *testing.T) {
	bubble(t, func(r *rig) {
		other := r.dial()
		other.say(forCall(setup, "0000"))
		r.want(other, forCall(answer, "0000"))
		stuck := r.listener.Dial() // it reads its answers, and no further
		lines := bufio.NewReader(stuck)
		for _, digits := range []string{"9b1f", "9b20"} {
			write(stuck, forCall(setup, digits)+"\n")
			if text, err := lines.ReadString('\n'); err != nil || !strings.Contains(text, "answer") {
				t.Fatal(text, err)
			}
		}
		for _, leg := range r.inviter.legs[1:] {
			leg.end(dispatch.Ended, 16)
		}
		time.Sleep(time.Second)
		r.want(other)
		stuck.Close()
		received, _ := other.take()
		text := strings.Join(received, "\n")
		if len(received) != 2 || !strings.Contains(text, "9b1f") || !strings.Contains(text, "9b20") {
			t.Errorf("got %q", received)
		}
	})
}

// A caller that disconnects is taken off although a write to it is stuck for up to 2 s. Without that, its set-ups would
// go on and be sent for nobody.
func TestConn_DisconnectIsSeenWhileAWriteIsStuck(t *testing.T) {
	for name, last := range map[string]string{
		"read on":             `{"type":"ping","id":"p2","cause":0}`,
		"closed for its line": `nonsense`,
	} {
		bubble(t, func(r *rig) {
			r.inviter.setOutcome(dispatch.TimedOut) // the attempt is out until the caller disconnects
			listener, end := r.serveHeld()
			defer end()
			raw := listener.Dial()
			for _, text := range []string{setup, `{"type":"ping","id":"p1","cause":0}`, last} {
				write(raw, text+"\n")
				synctest.Wait()
			}
			if open := r.cfg.Calls.PendingSetups(); open != 1 {
				t.Errorf("%s: %d open before the caller disconnects", name, open)
			}
			raw.Close()
			synctest.Wait()
			if open := r.cfg.Calls.PendingSetups(); open != 0 {
				t.Errorf("%s: %d open after the caller disconnected", name, open)
			}
		})
	}
}

// Without the release, an agent would be reserved for a caller that never got the answer. One answer is being written
// here, and one is queued.
func TestConn_CallOfUnwrittenAnswerIsReleased(t *testing.T) {
	bubble(t, func(r *rig) {
		raw := r.listener.Dial() // it reads nothing
		for _, digits := range []string{"9b1f", "9b20"} {
			write(raw, forCall(setup, digits)+"\n")
			synctest.Wait()
		}
		if n := r.cfg.Calls.EstablishedCalls(); n != 2 {
			t.Errorf("%d established calls, want 2", n)
		}
		raw.Close()
		synctest.Wait()
		for i, leg := range r.inviter.legs {
			if leg.released != dispatch.CauseNormal {
				t.Errorf("call %d was not released at its pool", i)
			}
		}
		unwritten := r.cfg.Counters.Get(telemetry.AnswersUnwritten)
		if n := r.cfg.Calls.EstablishedCalls(); n != 0 || unwritten != 2 {
			t.Errorf("%d established calls, %d answers unwritten", n, unwritten)
		}
	})
}

func TestLineKind_IsNamed(t *testing.T) {
	for kind, want := range map[lineKind]string{
		lineReply:   "reply",
		lineAnswer:  "answer",
		lineCallEnd: "call end",
		lineClose:   "close",
	} {
		if got := kind.String(); got != want {
			t.Errorf("kind %d is %q, want %q", int(kind), got, want)
		}
	}
}
