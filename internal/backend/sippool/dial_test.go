package sippool

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/dispatch"
)

// A pool that refuses connections, as one whose process has ended does, must not be dialled once for every attempt.
func TestDial_AttemptsDoNotRemoveTheBackoff(t *testing.T) {
	inBubble(t, func(r *rig) {
		r.remote.SetRejecting(true, false)
		r.remote.CloseConnections()
		synctest.Wait()
		before := r.dials.Load()
		for range 1000 {
			r.invite("c1", 0, time.Minute)
			time.Sleep(time.Millisecond)
		}
		if n := r.dials.Load() - before; n < 10 || n > 51 {
			t.Errorf("dialled %d times in a second", n)
		}
	})
}

// An attempt does not wait for a connection that comes up late, but the dial goes on, and the next attempt finds it.
func TestDial_LateConnectionServesTheNextAttempt(t *testing.T) {
	inBubble(t, func(r *rig) {
		accept := make(chan struct{})
		dial := r.cfg.Dial
		var dials atomic.Int64
		r.cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			dials.Add(1)
			select {
			case <-accept:
				return dial(ctx, address)
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
		r.remote.CloseConnections()
		synctest.Wait()
		time.Sleep(minRedialDelay)

		early := r.invite("c1", 0, time.Minute)
		time.Sleep(time.Duration(r.cfg.ConnectTimeout) * time.Microsecond)
		r.wantOutcome(early, dispatch.ConnectFailed)

		time.Sleep(300 * time.Millisecond)
		close(accept)
		synctest.Wait()
		late := r.invite("c2", 0, time.Minute)
		r.wantRequests("INVITE").Answer(200, "", "a\r\n")
		r.wantOutcome(late, dispatch.Answered)
		if n := dials.Load(); n != 1 {
			t.Errorf("%d dials", n)
		}
	})
}
