package eidertrail

import (
	"testing"
	"time"
)

const millisecond = time.Millisecond

// testNode drives one controller by hand and keeps every action.
type testNode struct {
	t    testing.TB
	c    *Controller
	now  time.Duration
	id   CallID
	all  []Action
	last []Action
}

// settings are those of a small site with a class of usual and one of high weight.
func settings() Settings {
	return Settings{
		Nodes: 4, Index: 1, OwnExchange: -1,
		Classes: []Class{
			{Name: "plain", LatencyObjective: 2 * time.Second, Deadline: 9 * time.Second, PriorityWeight: 1, LateFactor: 0.25},
			{Name: "heavy", LatencyObjective: time.Second, Deadline: 6 * time.Second, PriorityWeight: 5, LateFactor: 0.25},
		},
		ReleaseWait: 300 * millisecond, RetransmitInterval: 400 * millisecond, MaxAttempts: 6,
		SlowStartWindow: 15 * time.Second, SlowStartCapacity: 0.3,
		OverloadMultiple: 2.5, OverloadWindow: 1500 * millisecond, Tick: 5 * millisecond,
	}
}

// newTestNode returns a node that has got the list of its servers.
func newTestNode(tb testing.TB, set Settings, servers ...Server) *testNode {
	tb.Helper()
	const seed = 7
	controller, err := New(set, seed)
	if err != nil {
		tb.Fatal(err)
	}
	node := &testNode{t: tb, c: controller, now: time.Hour}
	node.handle(ServerList{Kind: Cached, Servers: servers})
	return node
}

// pools returns one server a pool, in the order of the names.
func pools(names ...ServerID) (list []Server) {
	for i, name := range names {
		list = append(list, Server{ID: name, Pool: i})
	}
	return list
}

func (n *testNode) server(id ServerID) *serverRecord { return n.c.serversByID[id] }

// handle gives events to the controller, at the same reading of the clock.
func (n *testNode) handle(events ...Event) {
	n.last = n.c.Handle(n.now, events, nil)
	n.all = append(n.all, n.last...)
}

// advance lets time go by and returns each Wake when it is due.
func (n *testNode) advance(d time.Duration) {
	end := n.now + d
	for n.c.nextWake > 0 && n.c.nextWake <= end {
		n.now = max(n.now, n.c.nextWake)
		n.handle(Wake{})
	}
	n.now = end
	n.handle()
}

// call hands over a call and returns its id and the server that it was sent to, if it was.
func (n *testNode) call(class, pool int) (CallID, ServerID) {
	n.id++
	n.handle(Call{ID: n.id, Class: class, Pool: pool, Timeout: 3 * time.Second})
	return n.id, n.sentTo(n.id)
}

// dial hands over a call to a number.
func (n *testNode) dial(key uint64) CallID {
	n.id++
	n.handle(Call{ID: n.id, Key: key, Timeout: 3 * time.Second})
	return n.id
}

// sentTo is the server to which the last batch sent the call, or none.
func (n *testNode) sentTo(id CallID) (to ServerID) {
	for _, a := range n.last {
		if s, ok := a.(Send); ok && s.Call == id {
			to = s.Server
		}
	}
	return to
}

// establish sets up a call that is answered after took.
func (n *testNode) establish(pool int, took time.Duration) ServerID {
	n.t.Helper()
	id, to := n.call(0, pool)
	if to == "" {
		n.t.Fatalf("call %d was not sent: %v", id, n.last)
	}
	n.advance(took)
	n.handle(Answered{Call: id, Attempt: 0, Took: took})
	return to
}

// countAttempts counts the Sends among actions.
func countAttempts(actions []Action) (count int) {
	for _, a := range actions {
		if _, ok := a.(Send); ok {
			count++
		}
	}
	return count
}

// lastSend is the latest of all Sends.
func (n *testNode) lastSend() (last Send) {
	for _, a := range n.all {
		if s, ok := a.(Send); ok {
			last = s
		}
	}
	return last
}

// finalAnswers counts the final answers of the call.
func (n *testNode) finalAnswers(id CallID) (count int) {
	for _, a := range n.all {
		switch a := a.(type) {
		case Reject:
			if a.Call == id {
				count++
			}
		case Fail:
			if a.Call == id {
				count++
			}
		}
	}
	return count
}

// attempts counts the attempts of the call.
func (n *testNode) attempts(id CallID) (count int) {
	for _, a := range n.all {
		if s, ok := a.(Send); ok && s.Call == id {
			count++
		}
	}
	return count
}

// retryAfter is what the final answer of the call says.
func (n *testNode) retryAfter(id CallID) time.Duration {
	n.t.Helper()
	for _, a := range n.all {
		switch a := a.(type) {
		case Reject:
			if a.Call == id {
				return a.RetryAfter
			}
		case Fail:
			if a.Call == id {
				return a.RetryAfter
			}
		}
	}
	n.t.Fatalf("call %d has no final answer", id)
	return 0
}

// replier stands for the servers of a node: each attempt gets one event, after the same delay.
type replier struct {
	node    *testNode
	delay   time.Duration
	reply   func(send Send, attempt int) Event
	seen    int // actions of the node that were looked at
	pending []scheduledEvent
}

type scheduledEvent struct {
	at    time.Duration
	event Event
}

// newReplier replies to the attempts that the node sends from now on.
func newReplier(node *testNode, delay time.Duration, reply func(send Send, attempt int) Event) *replier {
	return &replier{node: node, delay: delay, reply: reply, seen: len(node.all)}
}

// step hands over the replies that are due, and schedules those to the attempts sent since the last step.
func (r *replier) step() {
	for len(r.pending) > 0 && r.pending[0].at <= r.node.now {
		r.node.handle(r.pending[0].event)
		r.pending = r.pending[1:]
	}
	for ; r.seen < len(r.node.all); r.seen++ {
		if send, ok := r.node.all[r.seen].(Send); ok {
			event := r.reply(send, r.node.c.calls[send.Call].attempts-1)
			r.pending = append(r.pending, scheduledEvent{r.node.now + r.delay, event})
		}
	}
}
