package dispatch

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/telemetry"
)

// CallTable keeps the calls of one frontend from set-up to end: which connection is owed the final answer, which calls
// are established, and on which connection the end of one can be delivered. It is the same for every frontend.
//
// A call passes through it once: Setup admits it, tableCall.run has it served, delivers its one final answer and waits
// for its end, and endDelivery delivers that.
type CallTable struct {
	dispatcher    *Dispatcher
	inviter       Inviter
	counters      *telemetry.Counters
	classes       map[string]int // index by name
	callID        func(id string) string
	announceID    func(id string)
	log           zerolog.Logger
	notifyAllEnds bool
	running       sync.WaitGroup // the calls' goroutines

	mu          sync.Mutex // guards the following, and the calls' states
	admission   admission
	calls       *callRegistry
	connections *connectionRegistry
	ends        *endDelivery
	aborted     bool // AbortPending was called

	closed context.Context //nolint:containedctx // it ends with the table, not with a request
	close  context.CancelFunc
}

// CallTableConfig is what a CallTable is made with.
type CallTableConfig struct {
	Dispatcher *Dispatcher
	Inviter    Inviter
	// MaxCalls bounds the calls open or established at a time.
	MaxCalls int
	// CallID gives the name under which the endpoints get a call; nil leaves the caller's.
	CallID func(id string) string
	// NotifyAllEnds has CallerConn.CallEnded called for each call that was established, also for those that the caller
	// released.
	NotifyAllEnds bool
	// Draining reports whether set-ups are rejected, as the controller is being emptied; nil: never. It is called with
	// the table's lock held, and waits for nothing.
	Draining func() bool
	// Log takes a line for each set-up that was not answered; the zero value takes none.
	Log zerolog.Logger
	// EndLog takes lines for ends of calls that wait, and for what becomes of them; the zero value takes none.
	EndLog zerolog.Logger
	// RelayEnd passes the end of a call that no connection has taken on to another process of the controller, and reports
	// whether there is one; nil: there never is. It is called with the table's lock held, and waits for nothing.
	RelayEnd func(id string, cause int) bool
	// UniqueIDs: an id names one call for good, also once that has ended.
	UniqueIDs bool
	// AnnounceID tells another process of the controller that a call is set up under an id; nil: there never is one. It
	// is called with the table's lock held, before the first attempt, and waits for nothing.
	AnnounceID func(id string)
	Counters   *Counters
}

// NewCallTable returns an empty call table.
func NewCallTable(cfg CallTableConfig) *CallTable {
	calls, connections := newCallRegistry(cfg.UniqueIDs), newConnectionRegistry()
	t := &CallTable{
		dispatcher:    cfg.Dispatcher,
		inviter:       cfg.Inviter,
		counters:      cfg.Counters,
		classes:       map[string]int{},
		callID:        cfg.CallID,
		announceID:    cfg.AnnounceID,
		log:           cfg.Log,
		notifyAllEnds: cfg.NotifyAllEnds,
		admission: admission{
			maxCalls:    cfg.MaxCalls,
			draining:    cfg.Draining,
			calls:       calls,
			connections: connections,
			counters:    cfg.Counters,
		},
		calls:       calls,
		connections: connections,
	}
	t.ends = &endDelivery{
		mu:          &t.mu,
		clock:       cfg.Dispatcher,
		connections: connections,
		counters:    cfg.Counters,
		log:         cfg.EndLog,
		relay:       cfg.RelayEnd,
		pending:     newPendingEnds(),
	}
	t.closed, t.close = context.WithCancel(context.Background())
	if t.callID == nil {
		t.callID = func(id string) string { return id }
	}
	if t.announceID == nil {
		t.announceID = func(string) {}
	}
	for i, class := range t.dispatcher.engine.settings.Classes {
		t.classes[class.Name] = i
	}
	return t
}

// SetMaxCalls changes the bound on the calls open or established at a time. Those over it stay.
func (t *CallTable) SetMaxCalls(maxCalls int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.admission.maxCalls = maxCalls
}

// latencyObjective is within what time a call of the class is to be answered.
func (t *CallTable) latencyObjective(class int) time.Duration {
	return t.dispatcher.engine.settings.Classes[class].LatencyObjective
}

// Setup takes a call of a connection: from now on it is owed one final answer, unless an error says what is
// wrong with it.
func (t *CallTable) Setup(callerConn CallerConn, setup SetupRequest) error {
	if !IsToken(setup.ID) {
		return ErrInvalidID
	}
	// This comes before all other checks: the one answer to the call that has this id is still to come.
	if t.isTaken(setup.ID) {
		t.counters.Add(telemetry.Duplicates)
		return ErrDuplicateID
	}
	t.counters.Add(telemetry.SetupsTaken)
	class, err := setup.validate(t.classes)
	if err != nil {
		return err
	}
	err = t.admit(callerConn, class, setup)
	if outcome, owed := rejectionOutcome(err); owed {
		t.counters.AddOutcome(class, outcome)
		t.log.Info().Str("call", setup.ID).AnErr("reason", err).Msg("set-up not accepted")
	}
	return err
}

// rejectionOutcome is the outcome of a valid set-up that was not accepted, and whether its caller gets one.
func rejectionOutcome(err error) (outcome telemetry.Outcome, owed bool) {
	switch {
	case err == nil:
		return outcome, false
	case errors.Is(err, ErrDraining), errors.Is(err, ErrTooManyCalls):
		return telemetry.OutcomeDeferred, true
	}
	return telemetry.OutcomeErrored, true
}

// admit starts a valid set-up, or returns why it was not accepted. Without an error, one that is not started is owed
// nothing.
func (t *CallTable) admit(callerConn CallerConn, class int, setup SetupRequest) error {
	number := cmp.Or(setup.Number, noNumber)
	request := Request{
		Call:     t.dispatcher.NewCall(),
		Class:    class,
		Group:    setup.Group,
		Key:      NumberKey(number),
		Deadline: setup.deadline(),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	conn := t.connections.find(callerConn)
	if admitted, err := t.admission.admit(conn, setup.ID); !admitted {
		return err
	}
	t.start(conn, setup.ID, request, Setup{
		ID:     t.callID(setup.ID),
		Number: number,
		Class:  setup.Class,
		SDP:    setup.SDP,
	})
	return nil
}

func (t *CallTable) isTaken(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls.isTaken(id)
}

// start runs a call that was admitted. The caller holds mu.
func (t *CallTable) start(conn *connection, id string, request Request, setup Setup) {
	ctx, cancel := context.WithCancelCause(context.Background())
	call := &tableCall{table: t, conn: conn, id: id, cancel: cancel, released: make(chan int, 1)}
	t.ends.deliverBefore(conn, id)
	if !conn.hasCalled {
		conn.hasCalled = true
		t.ends.deliverPendingTo(conn)
	}
	t.connections.open(conn)
	t.calls.add(call)
	t.announceID(id)
	if t.aborted {
		cancel(errAborted)
	}
	t.running.Add(1)
	go call.run(ctx, request, setup)
}

// TakeForeignIDs takes ids of calls that another process of the controller has set up: they name no new call here.
func (t *CallTable) TakeForeignIDs(ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls.addForeign(ids)
}

// KnownIDs returns the ids that name no new call.
func (t *CallTable) KnownIDs() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls.known()
}

// Release takes a caller's release, on whatever connection it came: a cancel before the answer (then
// established is false and no answer follows), the end of the call after it.
func (t *CallTable) Release(id string, cause int) (established bool, err error) {
	t.counters.Add(telemetry.ReleasesIn)
	t.mu.Lock()
	defer t.mu.Unlock()
	call := t.calls.find(id)
	switch {
	case call == nil && t.calls.endedRecently(id):
		return false, ErrCallEnded
	case call == nil:
		t.calls.cancelEarly(id)
		return false, ErrUnknownCall
	case call.state != tableCallEstablished:
		call.abandon()
		return false, nil
	default:
		call.release(cause)
		return true, nil
	}
}

// AnswerLost takes back the answer of a call that a connection could not write completely: the call is released at its
// endpoint. Otherwise an agent is held for nobody, as the caller never learnt that the call is established.
func (t *CallTable) AnswerLost(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call := t.calls.find(id)
	if call == nil || call.state != tableCallEstablished {
		return
	}
	t.counters.Add(telemetry.AnswersUnwritten)
	call.release(CauseNormal)
}

// CallEnded notifies callers of the end of a call that was set up before a restart, on any connection; without one
// it waits for the next. Of a call that is known here it passes nothing on: that may be established at another endpoint
// than the one that reports the end, after an attempt whose answer was lost.
func (t *CallTable) CallEnded(id string, cause int) {
	if !t.isKnown(id) {
		t.deliverElsewhere(id, cause)
	}
}

func (t *CallTable) isKnown(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.calls.isKnown(id)
}

// RedeliverEnd takes back the end of a call that a connection could not write: it is delivered on another.
func (t *CallTable) RedeliverEnd(id string, cause int) { t.deliverElsewhere(id, cause) }

// EndRelayed takes the end of a call that another process of the controller could not deliver. It does not go back
// there.
func (t *CallTable) EndRelayed(id string, cause int) {
	end := callEnd{id: id, cause: cause, endedAt: t.dispatcher.Now(), relayed: true}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends.enqueue(end)
}

// RelayPendingEnds passes the ends that no connection has taken on to another process, which serves from now on.
func (t *CallTable) RelayPendingEnds() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends.relayAgain()
}

// deliverElsewhere delivers the end of a call on whatever connection takes it.
func (t *CallTable) deliverElsewhere(id string, cause int) {
	end := callEnd{id: id, cause: cause, endedAt: t.dispatcher.Now()}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends.enqueue(end)
}
