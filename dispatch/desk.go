package dispatch

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"eidertrail/internal/recentset"
	"eidertrail/internal/telemetry"
)

// CallerConn is one connection of callers, on whatever wire. Its methods queue and never block; false says
// that the connection can take no more. They may be called with locks held and must not call the Desk.
type CallerConn interface {
	// Final passes on the one final answer to a call; the kind is never Gone.
	Final(id string, f Final) bool
	// CallEnded tells that a call that stood is over.
	CallEnded(id string, cause int) bool
}

// SetupRequest is a set-up as a front reads it. What is in it is checked here, for all fronts.
type SetupRequest struct {
	ID            string // the caller's name for the call
	Class         string
	Number        string  // the number called, "" for none
	Pool          int     // the pool of first choice, -1 for none
	TimeoutMillis float64 // the caller waits so many milliseconds, from Came on
	ReceivedAt    int64   // clock reading when it had come in whole
	SDP           string
}

// What can be wrong with a set-up or with what follows it.
var (
	ErrID        = errors.New("id: want 1 to 64 letters, digits or -._+")
	ErrClass     = errors.New("class: not known")
	ErrLeft      = errors.New("left: want milliseconds, 0 or more")
	ErrNumber    = errors.New("number: want at most 64 letters, digits or -._+")
	ErrDuplicate = errors.New("id: in use")
	ErrTooMany   = errors.New("too many calls")
	ErrUnknown   = errors.New("id: not known")
	ErrCallEnded = errors.New("id: the call is over")
	ErrSDP       = errors.New("sdp: too long")
	// ErrNotEstablished is ErrTooMany for a connection that no call of was answered yet.
	ErrNotEstablished = fmt.Errorf("%w for a connection that had none answered", ErrTooMany)
)

// Why a call ends early.
var (
	errLeft    = errors.New("dispatch: the caller has left")
	errGivenUp = errors.New("dispatch: given up")
)

const (
	// answerMargin is how long before the caller gives up its answer must be on its way.
	answerMargin = 20_000
	mostLeft     = 1e9
	mostKept     = 4096 // ends of calls that wait for a connection
	mostToken    = 64
	mostPast     = 2048
	mostEarly    = 256 // cancels that may have overtaken their set-ups
	// waitForCaller is how long the end of a call waits for a connection of callers when others are open:
	// it is to be told within 1 s.
	waitForCaller = 400 * time.Millisecond
	// crossed is how long before a connection's end what was told on it may not have been read any more, and
	// mostTold bounds what is remembered of that.
	crossed  = 250_000
	mostTold = 256
	// mostSDP leaves room for the head of an INVITE of at most 16 KiB.
	mostSDP = 15 << 10
	// mostOpen bounds the open set-ups of a connection, mostUnproven those of one that had no call answered
	// yet, and mostUnprovenAll those of all such connections together: a flood of what no pool can use must
	// not take the places of callers that are served.
	mostOpen        = 1024
	mostUnproven    = 64
	mostUnprovenAll = 192
	// mostErrors is how many set-ups of a connection the pools may make nothing of, while none of it was
	// answered, before it gets no more of their time.
	mostErrors = 4
)

// CallTable keeps the calls of one front from set-up to end: which connection is owed the final answer, what
// stands, and on which connection the end of it can be told. It is the same for every front.
type CallTable struct {
	d       *Dispatcher
	trunk   Inviter
	count   *telemetry.Counters
	classes map[string]int
	most    int
	callID  func(id string) string
	tellAll bool
	once    bool
	wg      sync.WaitGroup

	mu      sync.Mutex
	at      map[CallerConn]*seat
	seats   []*seat // in the order of Connect
	doubted int     // open set-ups of connections that are not proven
	late    *time.Timer
	calls   map[string]*deskCall
	kept    []over
	past    *recentset.Set // calls that are over: what still comes for them is not of somebody else's call
	early   *recentset.Set // with once: cancelled or released, and not known here
	open    int            // set-ups without a final answer
	givenUp bool           // GiveUp was called

	closed context.Context // done from Close on
	close  context.CancelFunc
}

type over struct {
	id    string
	cause int
	since int64 // when it ended
}

// seat is a connection that is in.
type seat struct {
	CallerConn
	proven bool // a call was answered on it
	spoke  bool // it has set up a call that made sense
	open   int  // its set-ups without a final answer
	stands int  // the calls that it set up and that stand
	errors int  // its set-ups that pools could make nothing of
	told   []handed
}

// handed is the end of a call that was handed to a connection.
type handed struct {
	over
	at int64
}

// hand tells the end of a call on this connection, and remembers it for a while. The caller holds mu.
func (k *CallTable) hand(s *seat, o over) bool {
	if !s.CallEnded(o.id, o.cause) {
		return false
	}
	k.count.Add(telemetry.ReleasesOut)
	now := k.d.Now()
	old := 0
	for old < len(s.told) && (now-s.told[old].at > crossed || len(s.told)-old >= mostTold) {
		old++
	}
	s.told = append(slices.Delete(s.told, 0, old), handed{o, now})
	return true
}

// deskCall is a call from its set-up to its end.
type deskCall struct {
	seat     *seat
	end      context.CancelCauseFunc
	stands   bool
	left     bool     // its caller has gone or has cancelled it, before it stood
	released chan int // the caller's release of a standing call, holds one
}

// leave notes that the caller has gone before the call stood: no final answer is owed. Guards against one after a
// cancel that came once the desk had given the call up: only the first cause of its end can be told from ctx. The
// caller holds mu.
func (c *deskCall) leave() {
	c.left = true
	c.end(errLeft)
}

// CallTableConfig is what a Desk is made with.
type CallTableConfig struct {
	Dispatcher *Dispatcher
	Inviter    Inviter
	// MaxCalls bounds the calls open or standing at a time.
	MaxCalls int
	// CallID gives the name under which the pools get a call; nil leaves the caller's.
	CallID func(id string) string
	// NotifyAllEnds has Caller.Over called for each call that stood, also for those that the caller released.
	NotifyAllEnds bool
	// UniqueIDs: an id names one call for good, also when that is over.
	UniqueIDs bool
	Counters  *Counters
}

// NewCallTable returns a desk.
func NewCallTable(c CallTableConfig) *CallTable {
	k := &CallTable{
		d: c.Dispatcher, trunk: c.Inviter, count: c.Counters, most: c.MaxCalls, callID: c.CallID, tellAll: c.NotifyAllEnds, once: c.UniqueIDs,
		at: map[CallerConn]*seat{}, classes: map[string]int{}, calls: map[string]*deskCall{}, past: recentset.New(mostPast), early: recentset.New(mostEarly),
	}
	k.closed, k.close = context.WithCancel(context.Background())
	if k.callID == nil {
		k.callID = func(id string) string { return id }
	}
	for i, class := range k.d.engine.set.Classes {
		k.classes[class.Name] = i
	}
	return k
}

// Connect takes a connection in. Until it is proven the ends of calls are told on it only where nobody
// else could be told for a while: it may be that of a tester, who knows of no calls, or of a bad client.
func (k *CallTable) Connect(c CallerConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &seat{CallerConn: c}
	k.at[c] = s
	k.seats = append(k.seats, s)
	k.tellLater()
}

// MarkEstablished notes that a connection is one of callers; one on which a call was answered is so by itself. Ends
// of calls that waited for one leave on it.
func (k *CallTable) MarkEstablished(c CallerConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.at[c]; s != nil {
		k.prove(s)
	}
}

func (k *CallTable) prove(s *seat) {
	if s.proven {
		return
	}
	s.proven = true
	k.doubted -= s.open
	k.tell((*seat).isProven)
}

func (s *seat) isProven() bool { return s.proven }

// ConnState tells how many open set-ups a connection has, how many calls that it set up stand, and whether it is proven.
func (k *CallTable) ConnState(c CallerConn) (open, stands int, proven bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s := k.at[c]; s != nil {
		return s.open, s.stands, s.proven
	}
	return 0, 0, false
}

// Owns tells whether a call is known that was set up on this connection.
func (k *CallTable) Owns(c CallerConn, id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	call := k.calls[id]
	return call != nil && call.seat.CallerConn == c
}

// tell hands what is kept to the youngest connection of a kind that takes it: it is the least likely to
// be closed right now. The caller holds mu.
func (k *CallTable) tell(kind func(*seat) bool) {
	for _, s := range slices.Backward(k.seats) {
		for len(k.kept) > 0 && kind(s) && k.hand(s, k.kept[0]) {
			k.kept = k.kept[1:]
		}
	}
}

// tellLater has what is kept told to anybody after a while. The caller holds mu.
func (k *CallTable) tellLater() {
	if len(k.kept) == 0 || len(k.seats) == 0 || k.late != nil {
		return
	}
	k.late = time.AfterFunc(waitForCaller, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.late = nil
		k.tell((*seat).isProven)
		k.tell((*seat).isCaller)
		k.tell(func(s *seat) bool { return s.errors == 0 })
		k.tell(func(*seat) bool { return true })
	})
}

// tellOverdue has what was kept for a while already told to those that have set up calls. The caller holds mu.
//
// Guards against an end that is told in time and lost with its connection waiting for a second time, and against one
// that waits while callers come and go, none of them for as long as the wait.
func (k *CallTable) tellOverdue() {
	if len(k.kept) > 0 && time.Duration(k.d.Now()-k.kept[0].since)*time.Microsecond >= waitForCaller {
		k.tell((*seat).isCaller)
	}
}

// isCaller tells whether a connection has set up calls that made sense: it is no tester's.
func (s *seat) isCaller() bool { return s.spoke && s.errors == 0 }

// Disconnect takes a connection off. Its open set-ups are given up, as their caller has left: an attempt
// that is out is called off. What stands stands on; its end is told on another connection.
func (k *CallTable) Disconnect(c CallerConn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.at[c]
	if s == nil {
		return
	}
	k.unseat(s)
	if s.open == 0 {
		return
	}
	for _, call := range k.calls {
		if call.seat == s && !call.stands {
			call.leave()
		}
	}
}

// Retire takes a connection off that is owed no final answer, and tells whether it did: no set-up on it is taken
// from then on.
func (k *CallTable) Retire(c CallerConn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.at[c]
	if s == nil || s.open > 0 {
		return s == nil
	}
	k.unseat(s)
	return true
}

// unseat takes a connection off the table. The caller holds mu.
func (k *CallTable) unseat(s *seat) {
	delete(k.at, s.CallerConn)
	k.seats = slices.DeleteFunc(k.seats, func(x *seat) bool { return x == s })
	// Guards against an end that crossed the closing: it was written, and nobody read it. Where somebody did
	// it is told twice, which says nothing new.
	now := k.d.Now()
	for _, h := range s.told {
		if now-h.at <= crossed {
			k.keep(h.over)
		}
	}
}

// AbortPending gives every set-up that has no final answer yet one at once: an attempt that is out is called off, and
// the set-up is refused, or failed where it may have been carried out and must not be repeated. So is any that comes
// in later, with no attempt. Guards against a set-up on a connection that waits for the last answer of another being
// taken and never answered.
func (k *CallTable) AbortPending() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.givenUp = true
	for _, call := range k.calls {
		if !call.stands {
			call.end(errGivenUp)
		}
	}
}

// PendingSetups is the number of set-ups that are owed a final answer.
func (k *CallTable) PendingSetups() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.open
}

// EstablishedCalls is the number of calls that stand.
func (k *CallTable) EstablishedCalls() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.calls) - k.open
}

// Idle tells whether the desk has no connection, no call and nothing to tell.
func (k *CallTable) Idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.seats) == 0 && len(k.calls) == 0 && len(k.kept) == 0
}

// Drain returns when every set-up has its final answer, or when ctx is done.
func (k *CallTable) Drain(ctx context.Context) {
	for k.PendingSetups() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// Close gives up what is open, forgets what stands and ends every goroutine of the desk. What stands
// stands on at its pool, which tells its end to whoever connects next.
func (k *CallTable) Close() {
	k.mu.Lock()
	k.close()
	for _, call := range k.calls {
		if !call.stands {
			call.leave()
		}
	}
	if k.late != nil {
		k.late.Stop()
	}
	k.mu.Unlock()
	k.wg.Wait()
}

// CallEnded tells callers that a call is over that was set up before a restart, on any connection; without one
// it waits for the next. Of a call that is known here it tells nothing: it may stand at another pool than
// the one that speaks, after a send whose answer was lost.
func (k *CallTable) CallEnded(id string, cause int) {
	if !k.met(id) {
		k.over(nil, id, cause)
	}
}

// RedeliverEnd takes back the end of a call that a connection was handed and could not write: it is told on another.
func (k *CallTable) RedeliverEnd(id string, cause int) { k.over(nil, id, cause) }

// AnswerLost takes back the answer of a call that a connection was handed and could not write whole: the call is
// released at its pool. Guards against an agent that is held for nobody, as the caller never learnt that it stands.
func (k *CallTable) AnswerLost(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	call := k.calls[id]
	if call == nil || !call.stands {
		return
	}
	k.count.Add(telemetry.AnswersUnwritten)
	select {
	case call.released <- CauseNormal:
	default: // it was released already
	}
}

func (k *CallTable) met(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[id] != nil || k.past.Contains(id)
}

func (k *CallTable) over(first *seat, id string, cause int) {
	o := over{id, cause, k.d.Now()}
	k.mu.Lock()
	defer k.mu.Unlock()
	if first != nil && k.at[first.CallerConn] == first && k.hand(first, o) {
		return
	}
	k.keep(o)
}

// keep has the end of a call told on any connection. The caller holds mu.
func (k *CallTable) keep(o over) {
	if len(k.kept) >= mostKept {
		k.count.Add(telemetry.ReleasesDropped)
		return
	}
	k.kept = append(k.kept, o)
	k.tell((*seat).isProven)
	if k.tellOverdue(); len(k.kept) > 0 {
		k.count.Add(telemetry.ReleasesPending)
		k.tellLater()
	}
}

// IsToken tells whether s can stand in the head of a message as one word, on every wire.
func IsToken(s string) bool {
	if s == "" || len(s) > mostToken {
		return false
	}
	for i := range len(s) {
		c := s[i]
		if !('0' <= c && c <= '9' || 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || strings.IndexByte("-._+", c) >= 0) {
			return false
		}
	}
	return true
}

// Setup takes a call of a connection that is in: from now on it is owed one final answer, unless an
// error says what is wrong with it.
func (k *CallTable) Setup(c CallerConn, s SetupRequest) error {
	if !IsToken(s.ID) {
		return ErrID
	}
	if k.taken(s.ID) { // before all else: the id's one answer is still to come
		k.count.Add(telemetry.Duplicates)
		return ErrDuplicate
	}
	k.count.Add(telemetry.SetupsTaken)
	class, known := k.classes[s.Class]
	if !known {
		return ErrClass
	}
	if !(s.TimeoutMillis >= 0 && s.TimeoutMillis <= mostLeft) {
		return ErrLeft
	}
	if s.Number == "" {
		s.Number = "0"
	}
	if !IsToken(s.Number) {
		return ErrNumber
	}
	if len(s.SDP) > mostSDP {
		return ErrSDP
	}
	r := Request{
		Call: k.d.NewCall(), Class: class, Pool: s.Pool, Key: NumberKey(s.Number),
		Deadline: s.ReceivedAt + int64(s.TimeoutMillis*1000) - answerMargin,
	}
	ctx, end := context.WithCancelCause(context.Background())
	k.mu.Lock()
	defer k.mu.Unlock()
	at := k.at[c]
	call := &deskCall{seat: at, end: end, released: make(chan int, 1)}
	switch {
	case k.calls[s.ID] != nil:
		// Guards against a second final answer: the one for the call that has this id is still to come.
		end(nil)
		k.count.Add(telemetry.Duplicates)
		return ErrDuplicate
	case len(k.calls) >= k.most:
		end(nil)
		return ErrTooMany
	case at == nil:
		end(nil)
		return nil // the caller has left meanwhile, or what crosses a close is sent again: nothing is owed
	case k.early.Contains(s.ID):
		// Guards against a set-up being sent whose cancel was read first, on another connection.
		end(nil)
		k.past.Add(s.ID)
		k.count.Add(telemetry.CancelledCalls)
		return nil
	case at.open >= mostOpen:
		end(nil)
		return ErrTooMany
	case !at.proven && (at.open >= mostUnproven || k.doubted >= mostUnprovenAll || at.errors >= mostErrors):
		end(nil)
		return ErrNotEstablished
	}
	at.spoke = true
	k.tellOverdue()
	if at.open++; !at.proven {
		k.doubted++
	}
	k.calls[s.ID] = call
	k.open++
	if k.givenUp {
		end(errGivenUp)
	}
	k.wg.Add(1)
	go k.serve(ctx, call, s.ID, r, Setup{ID: k.callID(s.ID), Number: s.Number, Class: s.Class, SDP: s.SDP})
	return nil
}

func (k *CallTable) taken(id string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls[id] != nil || k.once && k.past.Contains(id)
}

// NumberKey is a number called as the module compares it.
func NumberKey(number string) uint64 {
	if key, err := strconv.ParseUint(number, 16, 64); err == nil {
		return key
	}
	h := fnv.New64a()
	io.WriteString(h, number)
	return h.Sum64()
}

// serve is one call, from its request to its end.
func (k *CallTable) serve(ctx context.Context, call *deskCall, id string, r Request, s Setup) {
	defer k.wg.Done()
	defer call.end(nil)
	began := k.d.Now()
	final := Serve(ctx, k.d, k.trunk, r, s)
	took := k.d.Now() - began

	// From here on a cancel is too late, or the final answer is: both are decided under the same lock.
	k.mu.Lock()
	k.open--
	at := call.seat
	if at.open--; !at.proven {
		k.doubted--
	}
	gone := final.Kind == FinalCallerGone || call.left
	if !gone && !at.Final(id, final) {
		k.count.Add(telemetry.AnswersUnwritten)
		gone = true
	}
	if call.stands = final.Kind == FinalEstablished && !gone; call.stands {
		at.stands++
		k.prove(at)
	} else {
		k.forget(id)
	}
	if final.Errored {
		at.errors++
	}
	k.mu.Unlock()
	switch {
	case gone:
		k.count.Add(telemetry.CancelledCalls)
		if final.Kind == FinalEstablished { // an answer that nobody waits for holds an agent for nobody
			final.Call.End(CauseNormal)
		}
	case final.Kind == FinalRejected:
		k.count.Add(telemetry.RejectedCalls)
	case final.Kind == FinalFailed:
		k.count.Add(telemetry.FailedCalls)
	default:
		k.count.RecordEstablished(took, took <= k.d.engine.set.Classes[r.Class].LatencyObjective.Microseconds())
		// ctx may be done: GiveUp crossed the answer. The call stands all the same.
		cause, byPool := final.Call.WaitEnd(k.closed, call.released)
		k.mu.Lock()
		at.stands--
		k.forget(id)
		k.mu.Unlock()
		if byPool || k.tellAll && k.closed.Err() == nil {
			k.over(at, id, cause)
		}
	}
}

// forget takes a call off the table. The caller holds mu.
func (k *CallTable) forget(id string) {
	delete(k.calls, id)
	k.past.Add(id)
}

// Release takes a caller's release, on whatever connection it came: a cancel before the answer (then
// standing is false and no answer follows), the end of the call after it.
func (k *CallTable) Release(id string, cause int) (standing bool, err error) {
	k.count.Add(telemetry.ReleasesIn)
	k.mu.Lock()
	defer k.mu.Unlock()
	call := k.calls[id]
	if call == nil && k.past.Contains(id) {
		return false, ErrCallEnded
	}
	if call == nil {
		if k.once && IsToken(id) {
			k.early.Add(id)
		}
		return false, ErrUnknown
	}
	if !call.stands {
		call.leave()
		return false, nil
	}
	select {
	case call.released <- cause:
	default:
	}
	return true, nil
}
