package eidertrail

import "time"

// All times are durations: a clock reading is the time since an origin of the host's choosing and never moves
// backwards.
//
// The host owes the controller a ServerList before the first Call; events in the order in which they came; exactly
// one Outcome for each Send, after its Answered if there was one; a Wake for each WakeAt, not before it is due; and
// the actions carried out in order. In return each Call gets exactly one final answer (Reject or Fail) or is
// established, before its Timeout is over.

// CallID identifies one call (one try of a caller) for as long as it lives.
type CallID uint64

// ServerID identifies a call server. The controller only compares and returns it.
type ServerID string

// Event is one thing that happened. The concrete types follow.
type Event interface{ event() }

// Call is handed over by a caller, who is owed one final answer or an established call from now on.
type Call struct {
	ID      CallID
	Class   int
	Pool    int           // pool of first choice (in a mesh: the destination exchange)
	Key     uint64        // the number dialled
	Timeout time.Duration // the caller gives this try up after this
	Transit bool          // forwarded by another exchange: goes to Pool or is rejected
}

// Status is the way in which an attempt ended.
type Status int

// Ways an attempt ends.
const (
	Ended         Status = iota // the call was established and has ended
	Error                       // all lines of the number busy, or a signalling fault
	Full                        // not set up: a processor or pool was full
	TimedOut                    // no answer in the time limit
	ConnectFailed               // never reached the server
	Reset                       // the set-up or the established call was cut
	Cancelled                   // called off
	NotSent                     // not sent at all
)

// NeverRan reports whether the status proves that the attempt was not carried out. A call whose attempts all ended so
// may be sent again, whatever its class.
func (s Status) NeverRan() bool { return s == Full || s == ConnectFailed || s == NotSent }

// Cause refines a Status.
type Cause int

// Causes stated with an outcome.
const (
	NoCause       Cause = iota
	NoAgent             // no free circuit or agent
	Returned            // returned by the second-choice exchange
	ProcessorFull       // the processor's queueing time is too long
	LinesBusy           // all lines of the number dialled are busy
)

// Outcome ends an attempt. Each Send gets exactly one.
type Outcome struct {
	Call       CallID
	Attempt    int
	Status     Status
	Took       time.Duration // since the send
	Closed     bool          // the call has ended, by this outcome or before
	Cause      Cause
	RetryAfter time.Duration // how long a full processor asks not to be sent anything; 0: not stated
	Report     *Report       // load report that came with it, or nil
	// InDoubt: a message of the attempt may still be on its way to the server, which gets no further attempt of the call.
	InDoubt bool
}

// Answered reports that the call is established; its Outcome follows when it ends.
type Answered struct {
	Call    CallID
	Attempt int
	Took    time.Duration
}

// CallerGone reports that the caller left or got its answer elsewhere; nothing more is owed.
type CallerGone struct{ Call CallID }

// ListKind states how a ServerList is to be read.
type ListKind int

// Kinds of server list.
const (
	Delta    ListKind = iota // changed entries only
	Snapshot                 // all entries; a server not in it is gone
	Cached                   // all entries as last cached, maybe stale
	Failed                   // the request failed or the subscription broke; no entries
)

// Mode is a listed server's state.
type Mode int

// Modes of a server.
const (
	Ready Mode = iota
	Draining
	Removed
)

// Server is an entry of a ServerList.
type Server struct {
	ID        ServerID
	StartedAt time.Duration // clock reading of its latest start; 0: long ago
	Mode      Mode
	Pool      int
	// DeniedClasses are the classes, a bit for each by its index, that must not be sent there now.
	DeniedClasses uint64
}

// ServerList updates the set of call servers.
type ServerList struct {
	Kind    ListKind
	Servers []Server // read only: shared with the host
}

// Report is a load report of a server. Fields not reported are negative.
type Report struct {
	Server ServerID
	Free   float64 // free agents (or circuits towards it)
	Agents float64 // their number
}

// Wake is the return of a WakeAt.
type Wake struct{ Token uint64 }

// Sharing says that this node consists of so many processes for now, each with a controller: one replaces another. What
// a server in slow start may get of the node is divided between them.
type Sharing struct{ Processes int }

func (Call) event()       {}
func (Outcome) event()    {}
func (Answered) event()   {}
func (CallerGone) event() {}
func (ServerList) event() {}
func (Report) event()     {}
func (Wake) event()       {}
func (Sharing) event()    {}
