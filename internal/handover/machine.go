package handover

import "slices"

// PredecessorState is how far this process has got with the one before it.
type PredecessorState int

// The states with a predecessor.
const (
	PredecessorNone      PredecessorState = iota // there is none, or it has ended
	PredecessorGreeted                           // hello was sent
	PredecessorWaiting                           // it has asked for patience
	PredecessorWelcomed                          // it has divided the limits and serves
	PredecessorRequested                         // it was asked to yield
	PredecessorReplaced                          // this process accepts in its place
	PredecessorUnlinked                          // another process listens too, without a connection to this one
)

// SuccessorState is how far the process after this one has got.
type SuccessorState int

// The states of a successor.
const (
	SuccessorNone     SuccessorState = iota
	SuccessorWelcomed                // it prepares on its half of the limits
	SuccessorYielding                // it was sent the yield
	SuccessorServing                 // it accepts connections
	SuccessorLeaving                 // it served, and was asked to stop
)

// maxQueuedSuccessors bounds the processes that wait for their turn; the connections of others are ended.
const maxQueuedSuccessors = 8

// Machine is one process's part in the handover. The zero value is a process that has just started. It is not safe for
// concurrent use.
type Machine struct {
	predecessor PredecessorState
	successor   SuccessorState
	successorID PeerID
	queue       []PeerID // processes that were asked to wait, in order

	accepting bool
	prepared  bool
	stopping  bool
	closed    bool // the listeners were closed: nothing can be handed over any more
	halved    bool

	actions []Action // of the step under way
}

// Accepting reports whether this process accepts connections.
func (m *Machine) Accepting() bool { return m.accepting }

// Ready reports whether this process, on its own, may say that it is ready.
func (m *Machine) Ready() bool { return m.accepting && m.prepared && !m.stopping }

// SuccessorServes reports whether the successor accepts connections in this process's place.
func (m *Machine) SuccessorServes() bool { return m.successor == SuccessorServing }

// Successor is the process after this one, and the state with it.
func (m *Machine) Successor() (PeerID, SuccessorState) { return m.successorID, m.successor }

// Prepared reports whether this process has noted that it is prepared.
func (m *Machine) Prepared() bool { return m.prepared }

// Halved reports whether this process has half of the limits.
func (m *Machine) Halved() bool { return m.halved }

// Predecessor is the state with the process before this one.
func (m *Machine) Predecessor() PredecessorState { return m.predecessor }

// Step takes an event and returns what is to be done, in order. An event that means nothing in the present state, such
// as a message that crossed another one, changes nothing.
func (m *Machine) Step(event Event) []Action {
	m.actions = nil
	switch event.Kind {
	case NoPredecessor, AddressShared, PredecessorFound, WaitReceived, WelcomeReceived, YieldReceived, ResumedReceived,
		PredecessorSilent, PredecessorEnded:
		m.stepPredecessor(event.Kind)
	case Opened, SharingEnded, Prepared:
		m.stepSelf(event.Kind)
	case HelloReceived, RequestReceived, TakenReceived, LeavingReceived, SuccessorEnded:
		m.stepSuccessor(event)
	case Terminated:
		m.terminate()
	case ListenersClosed:
		m.accepting, m.closed = false, true
	case eventKinds:
	}
	return m.actions
}

func (m *Machine) do(kind ActionKind) { m.actions = append(m.actions, Action{Kind: kind}) }

func (m *Machine) send(kind ActionKind, peer PeerID) {
	m.actions = append(m.actions, Action{Kind: kind, Peer: peer})
}

func (m *Machine) stepPredecessor(kind EventKind) {
	switch kind { //nolint:exhaustive // those of a predecessor
	case NoPredecessor:
		if m.predecessor == PredecessorNone && !m.accepting && !m.stopping {
			m.do(Open)
		}
	case AddressShared:
		if m.predecessor == PredecessorNone && !m.accepting {
			m.prepareUnlinked()
		}
	case PredecessorFound:
		m.predecessor = PredecessorGreeted
	case WaitReceived:
		if m.predecessor == PredecessorGreeted {
			m.predecessor = PredecessorWaiting
		}
	case WelcomeReceived:
		m.welcomed()
	case YieldReceived:
		m.yieldReceived()
	case ResumedReceived:
		m.resumedReceived()
	case PredecessorSilent:
		m.predecessorSilent()
	case PredecessorEnded:
		m.predecessorEnded()
	}
}

// welcomed begins the preparation, on half of the limits.
func (m *Machine) welcomed() {
	if m.predecessor != PredecessorGreeted && m.predecessor != PredecessorWaiting {
		return
	}
	m.predecessor = PredecessorWelcomed
	m.halve()
	m.do(Prepare)
}

// yieldReceived begins to accept. A predecessor that stops yields before it is asked to: from then on nobody else
// accepts, whether this process is prepared or not.
func (m *Machine) yieldReceived() {
	if m.predecessor == PredecessorRequested || m.predecessor == PredecessorWelcomed {
		m.replacePredecessor()
	}
}

// resumedReceived leaves the connections that still come to the predecessor: one that this process, which stops,
// accepted in its last moment would be closed unread.
func (m *Machine) resumedReceived() {
	if m.stopping && m.accepting {
		m.accepting = false
		m.do(PauseAccepting)
	}
}

func (m *Machine) replacePredecessor() {
	m.predecessor = PredecessorReplaced
	m.accept()
	m.do(SendTaken)
	if m.stopping {
		m.do(SendLeaving)
	}
}

// predecessorSilent goes on beside a predecessor that does not answer.
func (m *Machine) predecessorSilent() {
	switch m.predecessor { //nolint:exhaustive // in the others it owes no answer
	case PredecessorGreeted:
		m.prepareUnlinked()
	case PredecessorRequested:
		m.replacePredecessor() // its listeners are held here: it learns that once it answers again
	}
}

// prepareUnlinked prepares beside a process that cannot hand its listeners over. They are opened only when this one is
// prepared: from then on the system gives it a part of the connections.
func (m *Machine) prepareUnlinked() {
	m.predecessor = PredecessorUnlinked
	m.halve()
	m.do(Prepare)
}

// predecessorEnded goes on without the predecessor.
func (m *Machine) predecessorEnded() {
	before := m.predecessor
	m.predecessor = PredecessorNone
	switch before { //nolint:exhaustive // in the others this process accepts already, or opens
	case PredecessorGreeted, PredecessorWaiting:
		m.do(FindPredecessor)
	case PredecessorWelcomed, PredecessorRequested:
		m.accept()
	case PredecessorReplaced:
		m.acceptToTheEnd()
	}
	m.restoreIfAlone()
	m.welcomeNext()
}

// acceptToTheEnd accepts again in a process that stops and had left that to its predecessor.
func (m *Machine) acceptToTheEnd() {
	if m.stopping && m.successor == SuccessorNone {
		m.accept()
	}
}

func (m *Machine) stepSelf(kind EventKind) {
	switch kind { //nolint:exhaustive // those of this process
	case Opened:
		m.accept()
		m.welcomeNext()
	case SharingEnded:
		if m.predecessor == PredecessorUnlinked {
			m.predecessor = PredecessorNone
			m.restoreIfAlone()
			m.welcomeNext()
		}
	case Prepared:
		m.prepared = true
		switch {
		case m.stopping || m.accepting:
		case m.predecessor == PredecessorWelcomed:
			m.predecessor = PredecessorRequested
			m.do(SendRequest)
		case m.predecessor == PredecessorUnlinked || m.predecessor == PredecessorNone:
			m.do(Open)
		}
		m.welcomeNext()
	}
}

func (m *Machine) stepSuccessor(event Event) {
	if event.Kind == HelloReceived {
		m.hello(event.Peer)
		return
	}
	if m.successor == SuccessorNone || event.Peer != m.successorID {
		if event.Kind == SuccessorEnded {
			m.queue = slices.DeleteFunc(m.queue, func(peer PeerID) bool { return peer == event.Peer })
		}
		return
	}
	switch event.Kind { //nolint:exhaustive // those of a successor
	case RequestReceived:
		m.offer()
	case TakenReceived:
		m.taken()
	case LeavingReceived:
		if m.successor == SuccessorServing {
			m.successor = SuccessorLeaving
			m.takeBack()
		}
	case SuccessorEnded:
		m.successorEnded()
	}
}

// hello welcomes a process, or has it wait.
func (m *Machine) hello(peer PeerID) {
	if len(m.queue) >= maxQueuedSuccessors {
		return
	}
	m.queue = append(m.queue, peer)
	m.welcomeNext()
	if slices.Contains(m.queue, peer) {
		m.send(SendWait, peer)
	}
}

// welcomeNext welcomes the process that has waited longest, once there are no two already.
func (m *Machine) welcomeNext() {
	alone := m.successor == SuccessorNone && m.predecessor == PredecessorNone
	if len(m.queue) == 0 || !alone || !m.canYield() {
		return
	}
	m.successor, m.successorID, m.queue = SuccessorWelcomed, m.queue[0], m.queue[1:]
	m.halve()
	m.send(SendWelcome, m.successorID)
	if m.stopping {
		m.offer()
	}
}

// canYield reports whether another process could succeed this one now. One that stops has no time for the other to be
// prepared: it yields at once.
func (m *Machine) canYield() bool {
	if m.stopping {
		return m.accepting || m.closed
	}
	return m.accepting && m.prepared
}

// offer has the successor accept.
func (m *Machine) offer() {
	if m.successor == SuccessorWelcomed {
		m.successor = SuccessorYielding
		m.send(SendYield, m.successorID)
	}
}

// taken empties this process, as the successor accepts connections.
func (m *Machine) taken() {
	if m.successor != SuccessorYielding {
		return
	}
	m.successor = SuccessorServing
	if m.accepting {
		m.accepting = false
		m.do(PauseAccepting)
	}
	if !m.stopping {
		m.do(Replaced)
	}
}

// takeBack accepts connections again, unless this process stops too.
func (m *Machine) takeBack() {
	if m.stopping || m.closed {
		return
	}
	m.accept()
	m.do(TakeBack)
	if m.successor == SuccessorLeaving {
		m.send(SendResumed, m.successorID)
	}
}

func (m *Machine) successorEnded() {
	served := m.successor == SuccessorServing
	m.successor = SuccessorNone
	if served {
		m.takeBack()
	}
	m.restoreIfAlone()
	m.welcomeNext()
}

// terminate has the other process accept: a successor is yielded to, a predecessor takes its place back.
func (m *Machine) terminate() {
	if m.stopping {
		return
	}
	m.stopping = true
	m.offer()
	if m.predecessor == PredecessorReplaced {
		m.do(SendLeaving)
	}
	m.welcomeNext()
}

func (m *Machine) accept() {
	if m.accepting || m.closed {
		return
	}
	m.accepting = true
	m.do(Accept)
	m.do(Announce)
}

func (m *Machine) halve() {
	if !m.halved {
		m.halved = true
		m.do(Halve)
	}
}

// restoreIfAlone gives this process the whole of the limits, once there is no other.
func (m *Machine) restoreIfAlone() {
	if m.halved && m.predecessor == PredecessorNone && m.successor == SuccessorNone {
		m.halved = false
		m.do(Restore)
	}
}
