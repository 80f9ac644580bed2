package handover

import "fmt"

// PeerID names a connection to another process.
type PeerID int

// EventKind is what has happened.
type EventKind int

// The events. Those of a successor carry its PeerID.
const (
	// NoPredecessor: no process was found that could hand its listeners over.
	NoPredecessor EventKind = iota
	// AddressShared: another process has the addresses, and lets others listen on them, but cannot be found.
	AddressShared
	// PredecessorFound: a process was found, and hello was sent to it.
	PredecessorFound
	// WaitReceived: the predecessor asks for patience.
	WaitReceived
	// WelcomeReceived: the predecessor has divided the limits, and its listeners are held here too.
	WelcomeReceived
	// YieldReceived: the predecessor has this process accept connections.
	YieldReceived
	// ResumedReceived: the predecessor accepts connections again.
	ResumedReceived
	// PredecessorSilent: the predecessor did not answer in time.
	PredecessorSilent
	// PredecessorEnded: its connection has ended.
	PredecessorEnded
	// Opened: the listeners were opened, beside those of another process where the addresses are shared.
	Opened
	// SharingEnded: that other process must have ended by now.
	SharingEnded
	// Prepared: the pools are connected and the endpoint list is read, or both had their time.
	Prepared
	// HelloReceived: a process asks to succeed this one.
	HelloReceived
	// RequestReceived: the successor is prepared and asks to accept connections.
	RequestReceived
	// TakenReceived: the successor accepts connections.
	TakenReceived
	// LeavingReceived: the successor was asked to stop.
	LeavingReceived
	// SuccessorEnded: the connection of a process that had sent hello has ended.
	SuccessorEnded
	// Terminated: this process was asked to stop.
	Terminated
	// ListenersClosed: this process, which stops, accepts no more and has closed its listeners.
	ListenersClosed
	eventKinds
)

//nolint:gochecknoglobals // a constant table, which Go has no constant form for
var eventNames = [eventKinds]string{
	NoPredecessor: "no predecessor", AddressShared: "address shared", PredecessorFound: "predecessor found",
	WaitReceived:    "wait received",
	WelcomeReceived: "welcome received", YieldReceived: "yield received",
	ResumedReceived:   "resumed received",
	PredecessorSilent: "predecessor silent", PredecessorEnded: "predecessor ended", Opened: "opened",
	SharingEnded: "sharing ended", Prepared: "prepared",
	HelloReceived: "hello received", RequestReceived: "request received", TakenReceived: "taken received",
	LeavingReceived: "leaving received", SuccessorEnded: "successor ended", Terminated: "terminated",
	ListenersClosed: "listeners closed",
}

// String is the event's name, as the log has it.
func (k EventKind) String() string {
	if k < 0 || k >= eventKinds {
		return fmt.Sprintf("EventKind(%d)", int(k))
	}
	return eventNames[k]
}

// Event is what has happened, and with which successor.
type Event struct {
	Kind EventKind
	Peer PeerID // of the events of a successor
}

// ActionKind is what is to be done.
type ActionKind int

// The actions. Those that send to a successor carry its PeerID.
const (
	// Open opens the listeners without a predecessor. It is answered by Opened, or by another search.
	Open ActionKind = iota
	// FindPredecessor looks for a process to succeed once more.
	FindPredecessor
	// Prepare builds what serves: pools, the endpoint list, fronts.
	Prepare
	// Accept begins to accept connections on the listeners that are held or opened; PauseAccepting stops that, and leaves
	// them open.
	Accept
	PauseAccepting
	// Announce lets later processes find this one.
	Announce
	// Halve limits this process to half of memory and descriptors, Restore gives it the whole.
	Halve
	Restore
	// Replaced empties this process, as its successor serves; TakeBack ends that.
	Replaced
	TakeBack
	// The messages. The welcome carries the listeners.
	SendRequest
	SendTaken
	SendLeaving
	SendWait
	SendWelcome
	SendYield
	SendResumed
	actionKinds
)

//nolint:gochecknoglobals // a constant table, which Go has no constant form for
var actionNames = [actionKinds]string{
	Open: "open", FindPredecessor: "find predecessor", Prepare: "prepare", Accept: "accept",
	PauseAccepting: "pause accepting", Announce: "announce", Halve: "halve", Restore: "restore",
	Replaced: "replaced", TakeBack: "take back", SendRequest: "send request", SendTaken: "send taken",
	SendLeaving: "send leaving", SendWait: "send wait", SendWelcome: "send welcome", SendYield: "send yield",
	SendResumed: "send resumed",
}

// String is the action's name, as the log has it.
func (k ActionKind) String() string {
	if k < 0 || k >= actionKinds {
		return fmt.Sprintf("ActionKind(%d)", int(k))
	}
	return actionNames[k]
}

// Action is what is to be done, and with which successor.
type Action struct {
	Kind ActionKind
	Peer PeerID // of the messages to a successor
}
