package srv

import (
	"context"
	"math/rand/v2"
	"time"
)

// Update is the outcome of one look-up of a name.
type Update struct {
	Name   string
	At     int64 // clock reading, µs, when it was over
	Answer Answer
	Err    error // the last good set stands; membership keeps it for its stale time
}

// Watch looks name up, sends each outcome on out, and asks again as s says, until ctx is done. now reads
// the clock in µs; seed parts the jitter of names and controllers.
func Watch(ctx context.Context, r *Resolver, s Schedule, name string, now func() int64, seed uint64, out chan<- Update) {
	rnd := rand.New(rand.NewPCG(seed, hash(name)))
	failures := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		a, err := r.Lookup(ctx, name)
		if ctx.Err() != nil {
			return
		}
		select {
		case out <- Update{Name: name, At: now(), Answer: a, Err: err}:
		case <-ctx.Done():
			return
		}
		var wait int64
		if err != nil {
			failures++
			wait = s.Retry(failures, rnd.Float64())
		} else {
			failures = 0
			wait = s.Refresh(leastTTL(a, s.Floor), rnd.Float64())
		}
		timer.Reset(time.Duration(wait) * time.Microsecond)
	}
}

// leastTTL is what the next refresh counts from: the least TTL of the records, else the negative TTL,
// else floor.
func leastTTL(a Answer, floor int64) int64 {
	if len(a.Records) == 0 {
		if a.NegativeTTL > 0 {
			return a.NegativeTTL
		}
		return floor
	}
	least := a.Records[0].TTL
	for _, r := range a.Records[1:] {
		least = min(least, r.TTL)
	}
	return least
}

func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
