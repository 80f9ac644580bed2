package pool

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/dispatch"
	"eidertrail/internal/bulletin"
	"eidertrail/internal/clock"
	"eidertrail/internal/standin"
	"eidertrail/internal/stats"
)

// rig is a set with one stand-in pool that is up.
type rig struct {
	*Set
	at    *standin.Pool
	clock *clock.Clock
	stray chan string
	seen  chan dispatch.State
	lines []dispatch.Server
}

func newRig(t *testing.T) *rig {
	ctx, stop := context.WithCancel(context.Background())
	r := &rig{at: standin.NewPool(t), clock: clock.New(), stray: make(chan string, 16), seen: make(chan dispatch.State, 16)}
	r.Set = NewSet(ctx, Config{
		Name: "n0", ConnectTimeout: 500_000, ReportFree: "idle", ReportAgents: "circuits", Clock: r.clock,
		Log: zerolog.Nop(), Count: &stats.Set{},
		Observe: func(_ string, s dispatch.State) { r.seen <- s },
		Stray:   func(id string, _ int) { r.stray <- id },
	})
	t.Cleanup(func() {
		stop()
		r.Wait()
	})
	r.list("p1", r.at.Address(), bulletin.Up)
	return r
}

func (r *rig) list(uid, address string, state bulletin.State) {
	r.Apply(bulletin.Event{Pools: []bulletin.Pool{{UID: uid, Address: address, State: state}}},
		func(l []dispatch.Server) { r.lines = l })
}

func (r *rig) attempt(id string, number int, within time.Duration) dispatch.Attempt {
	now := r.clock.Now()
	return dispatch.Attempt{Setup: dispatch.Setup{ID: id, Number: "7f3a", Class: "voice", SDP: "offer\r\n"},
		Pool: "p1", Number: number, At: now, Until: now + within.Microseconds()}
}

type result struct {
	leg dispatch.Leg
	end dispatch.Ending
}

func (r *rig) invite(ctx context.Context, a dispatch.Attempt) <-chan result {
	c := make(chan result, 1)
	go func() {
		leg, end := r.Invite(ctx, a)
		c <- result{leg, end}
	}()
	return c
}

func TestInviteStandsAndEnds(t *testing.T) {
	r := newRig(t)
	got := r.invite(context.Background(), r.attempt("c1", 0, time.Minute))
	q := r.at.Next("INVITE")
	if q.URI != "sip:7f3a@net" || q.CallID != "c1" || q.Get("subject") != "voice" || string(q.Body) != "offer\r\n" {
		t.Errorf("INVITE %+v", q.Message)
	}
	q.Answer(200, "", "answer\r\n")
	x := <-got
	if x.leg == nil || x.leg.SDP() != "answer\r\n" || x.end.Outcome != dispatch.Answered {
		t.Fatalf("got %+v", x)
	}
	r.at.Next("ACK")
	q.Bye(41)
	<-x.leg.Done()
	if e := x.leg.Ending(); e.Outcome != dispatch.Reset || e.Cause != 41 {
		t.Errorf("ending %+v", e)
	}
}

// Guards against the first real day's loss: pools number every answer 1, so an answer to a call's second
// send was taken for nobody's, and every second send timed out.
func TestSecondSendIsAnsweredWithNumberOne(t *testing.T) {
	r := newRig(t)
	got := r.invite(context.Background(), r.attempt("c1", 0, time.Minute))
	r.at.Next("INVITE").Answer(503, "blocked", "")
	if x := <-got; x.end.Outcome != dispatch.NoAgent {
		t.Fatalf("first send: %+v", x)
	}
	got = r.invite(context.Background(), r.attempt("c1", 1, time.Minute))
	q := r.at.Next("INVITE")
	if q.CSeq != 1 {
		t.Errorf("second INVITE is numbered %d", q.CSeq)
	}
	q.Answer(200, "", "answer")
	if x := <-got; x.leg == nil {
		t.Fatalf("second send: %+v", x)
	}
}
