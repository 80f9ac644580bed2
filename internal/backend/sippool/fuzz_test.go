package sippool

import (
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/internal/endpoint/endpointlist"
	"eidertrail/internal/testing/fakeplatform"
)

// FuzzDialog plays random steps of one call's attempts and checks them against a model of their states: there are never
// two pending INVITEs, a leg exactly when a 200 came first, and a BYE for every other 200.
func FuzzDialog(f *testing.F) {
	fakeplatform.FuzzScripts(f, []string{
		"000100", "0002001300", "000310", "00040010", "0001000500", "00060001", "0003020100", "000700",
		"00600060700000",
	},
		func(t *testing.T, script []byte) {
			t.Helper()
			onRig(t, func(r *rig) {
				player := &dialogPlayer{rig: r}
				fakeplatform.RunScript(script, player.steps(), func() { player.check(t) })
				player.finish(t)
			})
		})
}

// dialogPlayer plays the steps of FuzzDialog.
type dialogPlayer struct {
	*rig
	call     *pendingInvite // the latest attempt, nil before the first
	attempts int
	legs     int // the most legs that there can be
}

func (p *dialogPlayer) steps() []func(byte) {
	return []func(byte){
		func(byte) { p.inviteNext() },
		func(byte) { p.withInvite(func(q fakeplatform.Request) { q.Answer(200, "", "a\r\n") }) },
		func(b byte) {
			p.withInvite(func(q fakeplatform.Request) { q.Answer(300+int(b)*399/255, "blocked", "") })
		},
		func(byte) { time.Sleep(1100 * time.Millisecond) },
		func(byte) {
			if p.call != nil {
				p.call.leave()
			}
		},
		func(byte) { p.withInvite(func(q fakeplatform.Request) { q.Bye(16) }) },
		func(byte) { p.dropConnections() },
		func(byte) { p.list("p1", "10.0.0.1:5060", endpointlist.Draining) },
		func(byte) { p.list("p1", "10.0.0.1:5060", endpointlist.Up) },
	}
}

// inviteNext starts another attempt, unless one is pending or answered.
func (p *dialogPlayer) inviteNext() {
	if p.call == nil || p.call.done && p.call.leg == nil {
		p.call = p.invite("c1", p.attempts, time.Second)
		p.attempts++
	}
}

// withInvite calls use with the last INVITE that the pool has received, if there is any.
func (p *dialogPlayer) withInvite(use func(fakeplatform.Request)) {
	if invite := p.lastInvite(); invite.Message != nil {
		use(invite)
	}
}

func (p *dialogPlayer) dropConnections() {
	p.remote.CloseConnections()
	synctest.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.received = nil
}

// check compares the attempt with what the pool has received.
func (p *dialogPlayer) check(t *testing.T) {
	t.Helper()
	pending, released := p.remoteState(t)
	if p.call != nil && p.call.done && pending {
		t.Fatal("the attempt has ended, and its INVITE is still pending")
	}
	if p.call != nil && p.call.done && p.call.leg != nil {
		p.legs = 1
	}
	if n := p.EstablishedCalls(); n > p.legs || n > 0 && released {
		t.Fatalf("%d established, %d legs, released %v", n, p.legs, released)
	}
}

// remoteState returns whether an INVITE is pending at the pool, and whether the latest was released.
func (p *dialogPlayer) remoteState(t *testing.T) (pending, released bool) {
	t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, request := range p.received {
		switch request.Method {
		case "INVITE":
			if pending {
				t.Fatal("two INVITEs are pending")
			}
			pending, released = true, false
		case "ACK", "CANCEL", "BYE": // a BYE comes on the next connection where this one was unresponsive
			pending, released = false, released || request.Method == "BYE"
		}
	}
	return pending, released
}

// finish checks that the last attempt ends when its caller leaves.
func (p *dialogPlayer) finish(t *testing.T) {
	t.Helper()
	if p.call == nil {
		return
	}
	p.call.leave()
	synctest.Wait()
	if !p.call.done {
		t.Fatal("an attempt never ended")
	}
}
