package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"eidertrail/internal/telemetry"
)

// connectStranger connects a connection that nothing vouches for.
func (r *rig) connectStranger() *fakeCallerConn {
	conn := &fakeCallerConn{}
	r.table.Connect(conn)
	return conn
}

// takeEnds returns the ends that a connection has received since the last call.
func (c *fakeCallerConn) takeEnds() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ends := c.ends
	c.ends = nil
	return ends
}

// An end that was written to a connection of a crowd was forgotten, and its caller, who came later, was never notified.
func TestEndDelivery_EndWrittenToAStrangerIsStillDeliveredToACaller(t *testing.T) {
	onRig(t, func(r *rig) {
		strangers := []*fakeCallerConn{r.connectStranger(), r.connectStranger()}
		r.table.CallEnded("c1", CauseNormal)
		time.Sleep(verifiedWait + 10*time.Millisecond)
		if first, second := strangers[0].takeEnds(), strangers[1].takeEnds(); len(first) != 0 || len(second) != 1 {
			t.Errorf("strangers got %v and %v, want the end on the youngest alone", first, second)
		}

		time.Sleep(8 * time.Second)
		caller := r.connectStranger()
		caller.takeEnds()
		r.establish(caller, "c2")
		_, _, verified := r.table.ConnState(caller)
		if !verified || r.table.PendingEnds() != 0 || r.counters.Get(telemetry.ReleasesOut) != 1 {
			t.Errorf("verified %v, waiting %d, delivered to callers %d",
				verified, r.table.PendingEnds(), r.counters.Get(telemetry.ReleasesOut))
		}

		later := r.connect()
		if ends := later.takeEnds(); len(ends) != 0 {
			t.Errorf("delivered again: %v", ends)
		}
	})
}

// A caller whose connection was the crowd's elder did not get the end when it had written its set-up.
func TestEndDelivery_EndIsDeliveredWithTheFirstSetupThatIsAdmitted(t *testing.T) {
	onRig(t, func(r *rig) {
		slow := r.connectStranger()
		crowd := r.connectStranger()
		r.table.CallEnded("c1", CauseNormal)
		time.Sleep(verifiedWait + 10*time.Millisecond)
		if len(slow.takeEnds()) != 0 || len(crowd.takeEnds()) != 1 {
			t.Fatal("want the end on the youngest connection alone")
		}

		r.setup(slow, "c2")

		if ends := slow.takeEnds(); !slices.Equal(ends, []string{"c1"}) {
			t.Errorf("delivered %v with the set-up, before its answer", ends)
		}
		r.lastAttempt().answer()
		synctest.Wait()
		if ends := slow.takeEnds(); len(ends) != 0 || r.table.PendingEnds() != 0 {
			t.Errorf("delivered %v with the answer, waiting %d", ends, r.table.PendingEnds())
		}
	})
}

// A caller's first line may take 2 s to write: an end that is due by then goes to the connection as it opens.
func TestEndDelivery_OverdueEndIsCopiedToANewConnectionAtOnce(t *testing.T) {
	onRig(t, func(r *rig) {
		r.connectStranger()
		r.table.CallEnded("c1", CauseNormal)
		time.Sleep(verifiedWait + 10*time.Millisecond)

		if ends := r.connectStranger().takeEnds(); !slices.Equal(ends, []string{"c1"}) {
			t.Errorf("delivered %v on a connection that opened 0.41 s after the end", ends)
		}
	})
}

// Set-ups that were admitted and not answered, on connections that then close, do not take the end with them.
func TestEndDelivery_EndStaysPendingUntilACallIsAnswered(t *testing.T) {
	onRig(t, func(r *rig) {
		r.table.CallEnded("c1", CauseNormal)
		for i := range 3 {
			caller := r.connectStranger()
			r.setup(caller, fmt.Sprintf("refused-%d", i))
			if ends := caller.takeEnds(); !slices.Equal(ends, []string{"c1"}) {
				t.Errorf("caller %d got %v", i, ends)
			}
			r.table.Disconnect(caller)
			time.Sleep(time.Second)
		}
		if r.table.PendingEnds() != 1 {
			t.Errorf("waiting %d", r.table.PendingEnds())
		}
		if ends := r.connect().takeEnds(); !slices.Equal(ends, []string{"c1"}) {
			t.Errorf("the caller that is answered got %v", ends)
		}
	})
}

// A crowd that connects again and again is not told every id, and one of its connections not every end.
func TestEndDelivery_CopiesToStrangersAreBounded(t *testing.T) {
	onRig(t, func(r *rig) {
		const ends = maxCopiesOnConnection + 10
		for i := range ends {
			r.table.CallEnded(fmt.Sprintf("c%d", i), CauseNormal)
		}
		time.Sleep(verifiedWait)
		copies := map[string]int{}
		for range 4 * maxCopies {
			stranger := r.connectStranger()
			time.Sleep(endBatchInterval)
			received := stranger.takeEnds()
			if len(received) > maxCopiesOnConnection {
				t.Errorf("one connection got %d ends", len(received))
			}
			for _, id := range received {
				copies[id]++
			}
			r.table.Disconnect(stranger)
		}
		for id, n := range copies {
			if n > maxCopies {
				t.Errorf("%s went to %d strangers", id, n)
			}
		}
		if len(copies) != ends || r.table.PendingEnds() != ends {
			t.Errorf("%d of %d ends copied, %d waiting", len(copies), ends, r.table.PendingEnds())
		}
	})
}

// More ends than the queue of a connection's writer holds went to the first caller at once, and closed its connection.
func TestEndDelivery_PendingEndsGoInBatches(t *testing.T) {
	onRig(t, func(r *rig) {
		const ends = 5*endBatchSize + 7
		for i := range ends {
			r.table.CallEnded(fmt.Sprintf("c%d", i), CauseNormal)
		}

		caller := r.connect()

		total := 0
		for total < ends {
			received := caller.takeEnds()
			if len(received) == 0 || len(received) > endBatchSize {
				t.Fatalf("%d ends at once, after %d", len(received), total)
			}
			total += len(received)
			time.Sleep(endBatchInterval)
			synctest.Wait()
		}
		if r.table.PendingEnds() != 0 || total != ends {
			t.Errorf("delivered %d, waiting %d", total, r.table.PendingEnds())
		}
	})
}

// The end that has waited longest is dropped for a new one, and what never reached a caller is counted at the stop.
func TestEndDelivery_OldestEndIsDroppedBeyondTheBound(t *testing.T) {
	onRig(t, func(r *rig) {
		for i := range maxPendingEnds + 1 {
			r.table.CallEnded(fmt.Sprintf("c%d", i), CauseNormal)
		}
		r.table.CallEnded(fmt.Sprintf("c%d", maxPendingEnds), CauseNormal) // the pool says it twice
		if dropped := r.counters.Get(telemetry.ReleasesDropped); dropped != 1 || r.table.PendingEnds() != maxPendingEnds {
			t.Errorf("dropped %d, waiting %d", dropped, r.table.PendingEnds())
		}
		if ends := r.connect().takeEnds(); ends[0] != "c1" {
			t.Errorf("the first one delivered is %s", ends[0])
		}

		waiting := r.table.PendingEnds()
		r.table.Close()

		if dropped := r.counters.Get(telemetry.ReleasesDropped); dropped != int64(1+waiting) {
			t.Errorf("dropped %d, %d were waiting at the stop", dropped, waiting)
		}
	})
}

// An end passed on to a process that was killed stayed where no caller came: the next process has to get it too.
func TestEndDelivery_PendingEndIsRelayedToTheNextProcessToo(t *testing.T) {
	onRig(t, func(r *rig) {
		var relayed []string
		r.table.ends.relay = func(id string, _ int) bool {
			relayed = append(relayed, id)
			return true
		}
		r.table.CallEnded("c1", CauseNormal)
		r.table.EndRelayed("c2", CauseNormal)
		if !slices.Equal(relayed, []string{"c1"}) {
			t.Errorf("relayed %v: c2 came from there", relayed)
		}

		r.table.RelayPendingEnds()

		if !slices.Equal(relayed, []string{"c1", "c1", "c2"}) {
			t.Errorf("relayed %v", relayed)
		}
	})
}

// An id that is used again gets the end of the earlier call before the answer of the new one, not after it.
func TestEndDelivery_EndOfAnEarlierCallComesBeforeTheNewOne(t *testing.T) {
	onRig(t, func(r *rig) {
		for i := range endBatchSize {
			r.table.CallEnded(fmt.Sprintf("c%d", i), CauseNormal)
		}
		r.table.CallEnded("again", CauseNormal)
		caller := r.connect()
		if slices.Contains(caller.takeEnds(), "again") {
			t.Fatal("want it to wait for the next batch")
		}

		r.setup(caller, "again")

		if ends := caller.takeEnds(); !slices.Equal(ends, []string{"again"}) {
			t.Errorf("delivered %v with the set-up", ends)
		}
		time.Sleep(endBatchInterval)
		if ends := caller.takeEnds(); len(ends) != 0 {
			t.Errorf("delivered %v later", ends)
		}
	})
}

// A stranger that set up a call under the id of a copied end took the end from the caller whose call it was.
func TestEndDelivery_StrangerThatUsesTheIDOfAnEndDoesNotTakeIt(t *testing.T) {
	onRig(t, func(r *rig) {
		stranger := r.connectStranger()
		r.table.CallEnded("c1", CauseNormal)
		time.Sleep(verifiedWait + 10*time.Millisecond)
		if ends := stranger.takeEnds(); !slices.Equal(ends, []string{"c1"}) {
			t.Fatalf("copied %v", ends)
		}
		r.setup(stranger, "c1")

		if ends := r.connect().takeEnds(); !slices.Equal(ends, []string{"c1"}) {
			t.Errorf("the caller got %v", ends)
		}
	})
}
