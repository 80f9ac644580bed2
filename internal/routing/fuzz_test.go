package routing

import (
	"testing"

	"eidertrail/internal/testing/fakeplatform"
)

// FuzzRouter plays random steps (lists with pools up, down or gone, reports, sends, answers, failures,
// ends, time) and checks after each: only pools that are up are eligible; a warming pool that is
// eligible holds less than its warm-up capacity; outside the own zone, a tier that is eligible is under
// its spill budget; nothing is kept of a pool that is gone; counts never go below zero.
func FuzzRouter(f *testing.F) {
	fakeplatform.Fuzz(f, []string{"\x00\x00\x01\x03\x02\x00\x02\x01\x06\x40\x00\x0f\x02\x05", "\x00\x0f\x03\x02\x03\x02\x03\x02\x06\xff\x00\x00"},
		func(t *testing.T, script []byte) {
			r, err := New(config(), zones)
			if err != nil {
				t.Fatal(err)
			}
			all := roster(nil)
			var now int64
			pick := func(arg byte) string { return all[int(arg)%len(all)].UID }
			var out []string // what was sent and not yet ended
			steps := []func(byte){
				func(arg byte) { // a list: arg's bits say which pools are down, its top bit that one is gone
					var l []Endpoint
					for i, p := range all {
						p.Up = arg&(1<<(i%7)) == 0
						if arg&0x80 != 0 && i == int(arg)%len(all) {
							continue
						}
						l = append(l, p)
					}
					r.UpdateEndpoints(now, l)
				},
				func(arg byte) { r.Report(pick(arg), float64(arg%12), 10) },
				func(arg byte) { // the module sends where routing lets it
					e := r.Eligible(now)
					if uid := pick(arg); e[uid] != 0 {
						r.Sent(uid)
						out = append(out, uid)
					}
				},
				func(arg byte) { // an attempt fails
					if len(out) > 0 {
						i := int(arg) % len(out)
						r.Ended(now, out[i], Failure, false)
						out = append(out[:i], out[i+1:]...)
					}
				},
				func(arg byte) { // an attempt is answered and later ends
					if len(out) > 0 {
						i := int(arg) % len(out)
						r.Answered(now, out[i])
						r.Ended(now, out[i], Neutral, true)
						out = append(out[:i], out[i+1:]...)
					}
				},
				func(arg byte) { now += int64(arg) * s1 / 8 },
			}
			fakeplatform.Play(script, steps, func() {
				e := r.Eligible(now)
				for uid := range e {
					p := r.pools[uid]
					if p == nil || !p.Up {
						t.Fatalf("at %d %s is eligible but not up", now, uid)
					}
					if p.warmFrom > 0 && float64(p.busy) >= r.warmCap(now, p) {
						t.Fatalf("at %d %s is eligible holding %d of %.0f while warming", now, uid, p.busy, r.warmCap(now, p))
					}
				}
				for i, tier := range r.Tiers() {
					if i == 0 {
						continue
					}
					eligibleHere := false
					for uid := range e {
						for _, z := range tier {
							eligibleHere = eligibleHere || r.pools[uid].Zone == z
						}
					}
					if eligibleHere && !r.spillRoom(now, tier) {
						t.Fatalf("at %d tier %v is eligible over its spill budget", now, tier)
					}
				}
				for uid, p := range r.pools {
					if p.busy < 0 || p.flying < 0 || p.flying > p.busy {
						t.Fatalf("%s: busy %d, flying %d", uid, p.busy, p.flying)
					}
				}
			})
		})
}
