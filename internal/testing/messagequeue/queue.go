// Package messagequeue holds the messages in flight of a simulated network, in virtual time.
package messagequeue

import "container/heap"

// Message is a message in flight.
type Message struct {
	At       int64 // when it arrives, in microseconds
	Order    int   // of two that arrive at the same time, the one of the lower order comes first
	From, To int   // the members' numbers
	Body     []byte
}

// Queue orders messages by their arrival. The zero value is empty and ready.
type Queue struct{ waiting byArrival }

// Push adds a message, whatever its time.
func (q *Queue) Push(m Message) { heap.Push(&q.waiting, m) }

// PopUntil removes and returns the message that arrives first, if that is at that time at the latest.
func (q *Queue) PopUntil(at int64) (first Message, ok bool) {
	if len(q.waiting) == 0 || q.waiting[0].At > at {
		return Message{}, false
	}
	first, ok = heap.Pop(&q.waiting).(Message)
	return first, ok
}

// byArrival implements heap.Interface.
type byArrival []Message

func (b byArrival) Len() int { return len(b) }

func (b byArrival) Less(i, j int) bool {
	return b[i].At < b[j].At || b[i].At == b[j].At && b[i].Order < b[j].Order
}

func (b byArrival) Swap(i, j int) { b[i], b[j] = b[j], b[i] }

func (b *byArrival) Push(x any) {
	if m, ok := x.(Message); ok {
		*b = append(*b, m)
	}
}

func (b *byArrival) Pop() any {
	last := (*b)[len(*b)-1]
	*b = (*b)[:len(*b)-1]
	return last
}
