package simulation

import "container/heap"

// timer is an action that is due at a simulated time.
type timer struct {
	at       int64
	sequence uint64
	action   func()
}

// timerQueue orders timers by time. Those due at the same time run in the order in which they were pushed, which makes
// a run deterministic.
type timerQueue struct {
	heap     timerHeap
	sequence uint64
}

func (q *timerQueue) push(at int64, action func()) {
	q.sequence++
	heap.Push(&q.heap, timer{at: at, sequence: q.sequence, action: action})
}

// popUntil removes the first timer, unless it is due after the limit.
func (q *timerQueue) popUntil(limit int64) (timer, bool) {
	if len(q.heap) == 0 || q.heap[0].at > limit {
		return timer{}, false
	}
	return heap.Pop(&q.heap).(timer), true
}

// timerHeap implements heap.Interface.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}

func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}
