package eidertrail

import "time"

// This file is the controller's interface and nothing else: the settings it is
// made with, the events it is told and the actions it answers with. All times
// are durations; a clock reading is the time since an origin of the host's
// choosing that never moves backwards.
//
// What the host owes: a ServerList before the first Call; events in the order
// in which they came; exactly one Outcome for each Send, after its Answered if
// there was one; a Wake for each WakeAt, not before it is due; and the actions
// carried out in order. What it gets: exactly one final answer (Refuse or Fail)
// or a standing call for each Call, before Left is over.

// CallID names one call (one try of a caller) for as long as it lives.
type CallID uint64

// ServerID names a call server. The controller compares it and returns it, no more.
type ServerID string

// Settings are what the access node knows about its deployment at start.
type Settings struct {
	Nodes       int // access nodes in the tier, this one included
	Index       int // this node's number among them, from 0
	OwnExchange int // own exchange number in a mesh, -1 where servers are pools
	Classes     []Class

	ReleaseWait        time.Duration // wait after a time-out, reset or cancel before the call is sent again
	RetransmitInterval time.Duration // a set-up waiting this long is repeated by the sender's stack; 0: never
	MaxAttempts        int           // attempts a call may have; 0: no limit
	PollEndpoints      bool          // the server list comes only when asked for (Watch)
	PollInterval       time.Duration // with MustAsk: ask again at least this often

	SlowStartWindow   time.Duration // a started server is warm no later than this
	SlowStartCapacity float64       // and starts with at least this share of its capacity
	OverloadMultiple  float64       // sent more than this multiple of what it can do now
	OverloadWindow    time.Duration // for this long, a cold server falls over
	Tick              time.Duration // least time between two batches
}

// Idempotency says what a repeat of a set-up may do.
type Idempotency int

// The effects of a class.
const (
	Idempotent      Idempotency = iota // repeats do no harm
	IdempotentByKey                    // repeats are recognised by some servers
	NotIdempotent                      // a set-up that may have run must not be repeated
)

// Class is a class of call.
type Class struct {
	Name             string
	LatencyObjective time.Duration // standing within this earns the full worth
	Deadline         time.Duration // the caller keeps trying for this long
	PriorityWeight   float64
	LateFactor       float64 // fraction of the worth when it stands after the aim
	Idempotency      Idempotency
	Pools            []int         // pools the class may use; nil: all
	MeanHoldingTime  time.Duration // mean length of a call; 0: not known
}

// Event is one thing that happened. The concrete types follow.
type Event interface{ event() }

// Call is handed over by a caller; one final answer or a standing call is owed from now on.
type Call struct {
	ID      CallID
	Class   int
	Pool    int           // pool of first choice (in a mesh: the destination exchange)
	Key     uint64        // the number dialled
	Timeout time.Duration // the caller gives this try up after this
	Transit bool          // sent here by another exchange: to Pool or refused
}

// Status tells how an attempt ended.
type Status int

// Ways an attempt ends.
const (
	Ended         Status = iota // the call stood and has ended
	Error                       // all lines of the number busy, or a signalling fault
	Full                        // not set up: a processor or pool was full
	TimedOut                    // no answer in the time limit
	ConnectFailed               // never reached the server
	Reset                       // the set-up or the standing call was cut
	Cancelled                   // called off
	NotSent                     // not sent at all
)

// Cause refines a Status.
type Cause int

// Causes stated with an outcome.
const (
	NoCause       Cause = iota
	NoAgent             // no free circuit or agent
	Returned            // turned back by the second-choice exchange
	ProcessorFull       // the processor's wait is too long
	LinesBusy           // all lines of the number dialled are busy
)

// Outcome ends an attempt. Each Send gets exactly one.
type Outcome struct {
	Call       CallID
	Attempt    int
	Status     Status
	Took       time.Duration // since the send
	Closed     bool          // the call is over, by this outcome or before
	Cause      Cause
	RetryAfter time.Duration // how long a full processor asks to be left alone; 0: not told
	Report     *Report       // load report that came with it, or nil
}

// Answered tells that the call stands (FIRST); its Outcome follows when it ends.
type Answered struct {
	Call    CallID
	Attempt int
	Took    time.Duration
}

// CallerGone tells that the caller left or was answered for; nothing more is owed.
type CallerGone struct{ Call CallID }

// ListKind tells how a ServerList is to be read.
type ListKind int

// Kinds of server list.
const (
	Delta    ListKind = iota // changed entries only
	Snapshot                 // all entries; a server not in it is gone
	Cached                   // all entries as last held, maybe stale
	Failed                   // asking failed or the subscription broke; no entries
)

// Mode is a listed server's state.
type Mode int

// Modes of a server.
const (
	Ready Mode = iota
	Draining
	Removed
)

// Server is a line of a ServerList.
type Server struct {
	ID        ServerID
	StartedAt time.Duration // clock reading of its latest start; 0: long ago
	Mode      Mode
	Pool      int
	// DeniedClasses are the classes, a bit for each by its index, that are not to be sent there now.
	DeniedClasses uint64
}

// ServerList brings news of the call servers.
type ServerList struct {
	Kind    ListKind
	Servers []Server // read only: shared with the host
}

// Report is what is known of a server's load. Fields not reported are negative.
type Report struct {
	Server ServerID
	Free   float64 // free agents (or circuits towards it)
	Agents float64 // their number
}

// Wake is the return of a WakeAt.
type Wake struct{ Token uint64 }

func (Call) event()       {}
func (Outcome) event()    {}
func (Answered) event()   {}
func (CallerGone) event() {}
func (ServerList) event() {}
func (Report) event()     {}
func (Wake) event()       {}

// Action is one thing to be done, in order. The concrete types follow.
type Action interface{ action() }

// Send starts a set-up. A call's attempts are numbered from 0 in the order of its Sends.
type Send struct {
	Call    CallID
	Server  ServerID
	Timeout time.Duration // time-out; 0: until the caller gives up
}

// Reject is a final answer: turned away. After is the controller's estimate of when trying again makes sense.
type Reject struct {
	Call       CallID
	RetryAfter time.Duration
}

// Fail is a final answer: given up. After is as with Refuse.
type Fail struct {
	Call       CallID
	RetryAfter time.Duration
}

// WakeAt asks for a Wake after In.
type WakeAt struct {
	Token uint64
	In    time.Duration
}

// Watch asks for the server list and its changes from now on.
type Watch struct{}

func (Send) action()   {}
func (Reject) action() {}
func (Fail) action()   {}
func (WakeAt) action() {}
func (Watch) action()  {}
