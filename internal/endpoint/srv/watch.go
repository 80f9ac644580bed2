package srv

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"time"
)

// Update is the outcome of one look-up of a name.
type Update struct {
	Name   string
	At     int64 // clock reading when it was over, in microseconds
	Answer Answer
	Err    error // the last good set of records stays in force
}

// Watch looks name up, sends each outcome on updates, and asks again as the schedule says, until ctx is done. now reads
// the clock in microseconds; the seed and the name give the jitter.
func Watch(
	ctx context.Context, resolver *Resolver, schedule Schedule, name string, now func() int64, seed uint64,
	updates chan<- Update,
) {
	random := rand.New(rand.NewPCG(seed, nameHash(name)))
	failures := 0
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		answer, err := resolver.Lookup(ctx, name)
		if ctx.Err() != nil {
			return
		}
		select {
		case updates <- Update{Name: name, At: now(), Answer: answer, Err: err}:
		case <-ctx.Done():
			return
		}
		var delay int64
		if err != nil {
			failures++
			delay = schedule.Retry(failures, random.Float64())
		} else {
			failures = 0
			delay = schedule.Refresh(minTTL(answer, schedule.Floor), random.Float64())
		}
		timer.Reset(time.Duration(delay) * time.Microsecond)
	}
}

// minTTL returns what the next refresh counts from, in microseconds: the least TTL of the records, else the negative
// TTL, else floor.
func minTTL(answer Answer, floor int64) int64 {
	if len(answer.Records) == 0 {
		if answer.NegativeTTL > 0 {
			return answer.NegativeTTL
		}
		return floor
	}
	shortest := answer.Records[0].TTL
	for _, record := range answer.Records[1:] {
		shortest = min(shortest, record.TTL)
	}
	return shortest
}

// nameHash hashes a name, so that names of one seed have jitter of their own.
func nameHash(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name)) // a hash writes without errors
	return hash.Sum64()
}
