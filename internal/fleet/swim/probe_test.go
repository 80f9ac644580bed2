package swim

import "testing"

// startedProbe returns the one of two or more members that has just pinged another.
func startedProbe(tb testing.TB, members int) *Node {
	tb.Helper()
	node, err := New(DefaultConfig(0, members), 1, 1, 0)
	if err != nil {
		tb.Fatal(err)
	}
	for other := 1; other < members; other++ {
		node.Receive(0, Message{Kind: Gossip, From: other, Incarnation: 1})
	}
	node.Tick(0)
	requireProbe(tb, node, probeDirect)
	return node
}

func requireProbe(tb testing.TB, node *Node, want probeState) {
	tb.Helper()
	if node.probe.state != want {
		tb.Fatalf("probe is %v, want %v", node.probe.state, want)
	}
}

// ack is the answer to the node's probe.
func ack(node *Node) Message {
	target := node.probe.target
	return Message{Kind: Ack, From: target, Incarnation: 1, Seq: node.probe.seq, Target: target}
}

func TestProbe_AcknowledgedDirectly(t *testing.T) {
	node := startedProbe(t, 3)

	node.Receive(1000, ack(node))

	requireProbe(t, node, probeAcknowledged)
	node.Tick(node.probe.timeoutAt)
	requireProbe(t, node, probeAcknowledged)
	if indirect := node.Counts().Indirect; indirect != 0 {
		t.Errorf("%d indirect probes", indirect)
	}
}

func TestProbe_AcknowledgedAfterTheTimeout(t *testing.T) {
	node := startedProbe(t, 3)

	node.Tick(node.probe.timeoutAt)
	requireProbe(t, node, probeIndirect)
	node.Receive(node.probe.timeoutAt+1, ack(node))

	requireProbe(t, node, probeAcknowledged)
}

func TestProbe_FailureMakesTheTargetSuspect(t *testing.T) {
	node := startedProbe(t, 2)
	target := node.probe.target

	node.Tick(node.probe.timeoutAt)
	node.tickProbe(node.probe.endAt)

	requireProbe(t, node, probeIdle)
	if state := node.View()[target].State; state != Suspect {
		t.Errorf("target is %v", state)
	}
}
