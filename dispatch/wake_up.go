package dispatch

import (
	"cmp"
	"slices"
)

// wakeUp is a time at which the module wants to be woken.
type wakeUp struct {
	at    int64
	token uint64
}

// wakeUpQueue holds wake-ups, the soonest first; of those at one time, the one added last comes first.
type wakeUpQueue []wakeUp

// add adds a wake-up.
func (q *wakeUpQueue) add(w wakeUp) {
	i, _ := slices.BinarySearchFunc(*q, w, func(a, b wakeUp) int { return cmp.Compare(a.at, b.at) })
	*q = slices.Insert(*q, i, w)
}

// takeDue removes the soonest wake-up if it is due and returns its token.
func (q *wakeUpQueue) takeDue(now int64) (token uint64, due bool) {
	if len(*q) == 0 || (*q)[0].at > now {
		return 0, false
	}
	token = (*q)[0].token
	*q = (*q)[1:]
	return token, true
}

// next is when the soonest wake-up is due, 0: there is none.
func (q wakeUpQueue) next() int64 {
	if len(q) == 0 {
		return 0
	}
	return q[0].at
}
