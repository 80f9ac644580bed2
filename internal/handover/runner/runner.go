// Package runner carries out what package handover decides: it opens a process's listeners, or takes those of the
// process before it, passes them on to the one after it, and tells the controller what has changed. One goroutine owns
// the machine; the connections to other processes are read by goroutines that post to it.
package runner

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/handover"
	"eidertrail/internal/handover/rendezvous"
	"eidertrail/internal/listener"
)

const (
	// answerTimeout is how long the predecessor may take to answer.
	answerTimeout = time.Second
	// unlinkedDelay is how long a process that has the addresses is looked for before it counts as one that cannot be
	// found.
	unlinkedDelay = time.Second
	// sharingTimeout is how long another process that cannot be found is taken to run: until its supervisor gives up
	// waiting for a yes, its longest deadline, and the delay of SIGKILL.
	sharingTimeout = 12 * time.Second
	// tickInterval is how often a process that is on its way looks at the time and at its preparation.
	tickInterval = 20 * time.Millisecond
	// idleInterval is how often a process looks that is not.
	idleInterval = time.Hour
	// waitLogInterval is how often a process that waits says so.
	waitLogInterval = time.Second
	// eventQueue and relayQueue bound what waits for the runner's goroutine.
	eventQueue, relayQueue = 64, 1024
	// terminateTimeout bounds the wait until the other process is told that this one stops.
	terminateTimeout = 500 * time.Millisecond
)

// Controller is what a runner serves. Its methods are called by the runner's goroutine.
type Controller interface {
	// Prepared reports whether the pools are connected and the endpoint list is read, or both had their time.
	Prepared() bool
	// DivideLimits has the controller keep to its part of the limits, which depends on who accepts.
	DivideLimits(view View)
	// CatchUp returns when what waits to be accepted has been.
	CatchUp()
	// Accepting tells that connections are accepted now, on every listener.
	Accepting()
	// Yielding tells that another process is about to accept: what only one process may hold is given up. It may be
	// followed by Accepting, where that process dies.
	Yielding()
	// Replaced empties the controller, as another process serves; TakeBack ends that.
	Replaced()
	TakeBack()
	// EndRelayed takes the end of a call that the other process could not deliver.
	EndRelayed(id string, cause int)
	// CallIDsTaken takes ids under which the other process has set calls up. It is called by any goroutine.
	CallIDsTaken(ids []string)
	// KnownCallIDs are the ids under which this process, or one before it, has set calls up. It is called by any
	// goroutine.
	KnownCallIDs() []string
}

// Listener is an address that the controller listens on.
type Listener struct {
	Field   string // of the configuration
	Address string
	// Wrap makes an operator's error of one that opening it has met.
	Wrap func(err error) error
}

// Config is what a Runner is made with.
type Config struct {
	// Temporary is the folder for temporary files; "": this process finds no other, and no other finds it.
	Temporary string
	// Listeners are the controller's; the first one's address is the name by which its processes find each other.
	Listeners []Listener
	// OpenTimeout is how long an address that is taken is waited for; 0: listener.DefaultTimeout.
	OpenTimeout time.Duration
	Log         zerolog.Logger
}

// View is what others may know of the machine.
type View struct {
	Accepting       bool // this process accepts connections
	SuccessorServes bool // another one serves in its place
	Halved          bool // it has half of the limits
	Successor       bool // it takes, or has taken, the place of another process
}

// Runner runs one process's part in the handover.
type Runner struct {
	cfg       Config
	log       zerolog.Logger
	acceptors map[string]*listener.Acceptor // by field
	folder    *rendezvous.Folder            // nil: the process cannot be found
	view      atomic.Pointer[View]
	events    chan event
	relays    chan callEnd
	callIDs   *callIDs
	failed    chan error // holds the error that ends the process
	goroutine sync.WaitGroup
	readers   sync.WaitGroup // of links; they end with them
	stop      context.CancelFunc
	lastPeer  atomic.Int64
	done      chan struct{} // closed by Close: nobody takes events any more

	// Of Join, and then of the goroutine of Start.
	machine     handover.Machine
	controller  Controller // nil before Start
	mayPrepare  bool
	predecessor *rendezvous.Link // nil: none
	successors  map[handover.PeerID]*rendezvous.Link
	passed      bool // the successor holds this process's listeners
	received    bool // they were the predecessor's, which holds them, too
	opening     opening
	timers      timers
}

// opening is the state of listeners that are to be opened.
type opening struct {
	wanted   bool
	since    time.Time // when the first of them was found taken; zero: none was
	loggedAt time.Time
}

// timers are the times at which something is due; the zero time stands for never.
type timers struct {
	answerDue    time.Time // of the predecessor
	sharingEnds  time.Time
	waitLoggedAt time.Time
}

// event is an event of the machine, with what came with it.
type event struct {
	handover.Event

	link    *rendezvous.Link // of HelloReceived
	message *rendezvous.Message
	sockets []passedSocket // of WelcomeReceived
	handled chan struct{}  // closed when it was stepped; nil: nobody waits
	source  *rendezvous.Link
}

// passedSocket is a listener that came with the welcome.
type passedSocket struct {
	field    string
	listener *net.TCPListener
}

type callEnd struct {
	id    string
	cause int
}

// ErrStopped reports that the process was asked to stop before it could serve.
var ErrStopped = errors.New("handover: stopped before it could serve")

// New returns a runner that has opened nothing yet.
func New(cfg Config) *Runner {
	if cfg.OpenTimeout == 0 {
		cfg.OpenTimeout = listener.DefaultTimeout
	}
	r := &Runner{
		cfg:        cfg,
		log:        cfg.Log,
		acceptors:  map[string]*listener.Acceptor{},
		events:     make(chan event, eventQueue),
		relays:     make(chan callEnd, relayQueue),
		callIDs:    newCallIDs(cfg.Log),
		failed:     make(chan error, 1),
		done:       make(chan struct{}),
		successors: map[handover.PeerID]*rendezvous.Link{},
	}
	for _, one := range cfg.Listeners {
		r.acceptors[one.Field] = listener.NewAcceptor(one.Address, cfg.Log)
	}
	r.publish()
	return r
}

// Acceptor is the listener of a field, paused until this process accepts connections.
func (r *Runner) Acceptor(field string) *listener.Acceptor { return r.acceptors[field] }

// View is what others may know of the machine now.
func (r *Runner) View() View { return *r.view.Load() }

// Failed holds the error that the process ends with, if one comes.
func (r *Runner) Failed() <-chan error { return r.failed }

// Join returns once the controller may be built: its listeners are open, or the process before it has divided the
// limits. It returns ErrStopped when ctx is done first.
func (r *Runner) Join(ctx context.Context) error {
	r.openFolder()
	r.find()
	for !r.mayPrepare && !r.machine.Accepting() {
		select {
		case <-ctx.Done():
			r.Close()
			return ErrStopped
		case err := <-r.failed:
			r.Close()
			return err
		case next := <-r.events:
			r.step(next)
		case <-time.After(tickInterval):
			r.tick(time.Now())
		}
	}
	return nil
}

// Start tells the controller of all that changes, until Close.
func (r *Runner) Start(controller Controller) {
	ctx, stop := context.WithCancel(context.Background())
	r.controller, r.stop = controller, stop
	if r.machine.Accepting() {
		controller.Accepting()
	}
	r.callIDs.start(controller)
	r.goroutine.Go(func() { r.callIDs.run(ctx, controller) })
	r.goroutine.Go(func() { r.run(ctx) })
}

func (r *Runner) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-r.events:
			r.step(next)
		case end := <-r.relays:
			r.sendEnd(end)
		case now := <-timer.C:
			r.tick(now)
		}
		timer.Reset(r.interval())
	}
}

// interval is how long nothing is due.
func (r *Runner) interval() time.Duration {
	view := r.View()
	settled := view.Accepting && r.machine.Prepared() && r.timers.sharingEnds.IsZero() && !r.opening.wanted
	if settled || view.SuccessorServes {
		return idleInterval
	}
	return tickInterval
}

// Terminate tells the other process that this one stops, and waits until it has.
func (r *Runner) Terminate() { r.postAndWait(handover.Terminated) }

// ListenersClosed tells that this process, which stops, has closed its listeners.
func (r *Runner) ListenersClosed() { r.postAndWait(handover.ListenersClosed) }

func (r *Runner) postAndWait(kind handover.EventKind) {
	handled := make(chan struct{})
	timeout := time.NewTimer(terminateTimeout)
	defer timeout.Stop()
	select {
	case r.events <- event{Event: handover.Event{Kind: kind}, handled: handled}:
	case <-timeout.C:
		return
	}
	select {
	case <-handled:
	case <-timeout.C:
	}
}

// Relay passes the end of a call on to the other process, and reports whether there is one. It waits for nothing. A
// process that does not accept yet passes it on, too: the callers are at the one before it.
func (r *Runner) Relay(id string, cause int) bool {
	if view := r.View(); !view.SuccessorServes && !view.Successor {
		return false
	}
	select {
	case r.relays <- callEnd{id: id, cause: cause}:
		return true
	default:
		return false
	}
}

// AnnounceCallID tells the other process, if there is one, that a call is set up under an id from now on. It waits for
// nothing.
func (r *Runner) AnnounceCallID(id string) { r.callIDs.announce(id) }

// Close ends the runner, its connections and its listeners.
func (r *Runner) Close() {
	if r.stop != nil {
		r.stop()
		r.goroutine.Wait()
	}
	close(r.done)
	if r.predecessor != nil {
		r.predecessor.Close()
	}
	for _, link := range r.successors {
		link.Close()
	}
	if r.folder != nil {
		r.folder.Close()
	}
	for _, acceptor := range r.acceptors {
		_ = acceptor.Close() // it may be closed already
	}
	r.readers.Wait()
}

// post hands an event to the goroutine that owns the machine.
func (r *Runner) post(next event) {
	select {
	case r.events <- next:
	case <-r.done:
		closeSockets(next.sockets)
	}
}

// publish makes the machine's state known.
func (r *Runner) publish() {
	r.view.Store(&View{
		Accepting:       r.machine.Accepting(),
		SuccessorServes: r.machine.SuccessorServes(),
		Halved:          r.machine.Halved(),
		Successor:       r.machine.Predecessor() != handover.PredecessorNone,
	})
}

func closeSockets(sockets []passedSocket) {
	for _, socket := range sockets {
		_ = socket.listener.Close() // it was not used
	}
}
