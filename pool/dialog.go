package pool

import (
	"context"
	"strconv"
	"sync"
	"time"

	"eidertrail/dispatch"
	"eidertrail/internal/sip"
	"eidertrail/internal/stats"
)

// dialogState is where the set-up of a dialog is.
type dialogState int

const (
	queued    dialogState = iota // not written yet
	out                          // written, no final answer
	calledOff                    // CANCEL was sent; a final answer may still cross it
	over
)

// dialog is a set-up at a pool. It belongs to pool.mu.
type dialog struct {
	pool        *pool
	number      string
	state       dialogState
	ctx         context.Context // done once the caller has left
	until       int64           // the attempt times out then
	leaveBy     int64           // the INVITE must not be written later, 0: at any time
	leftAt      int64           // when the INVITE was written
	calledOffAt int64
	reply       chan reply // holds the one reply
}

type reply struct {
	leg    *leg
	ending dispatch.Ending
}

// finish ends a dialog without an answer. The caller holds pool.mu.
func (d *dialog) finish(e dispatch.Ending) {
	d.state = over
	d.reply <- reply{nil, e}
}

// leave is asked when the INVITE is about to be written on c. It tells whether it may be.
func (d *dialog) leave(c *conn, id string) bool {
	p := d.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if d.state != queued {
		p.set.cfg.Count.Add(stats.InvitesCalledOff)
		return false
	}
	if !p.eligible() {
		p.set.cfg.Count.Add(stats.GuardDrain)
		d.finish(p.set.ending(dispatch.Moot))
		delete(c.dialogs, id)
		return false
	}
	// Guards against a set-up leaving for a caller that has left, or whose time is over, when the goroutine that calls
	// it off has not had its turn yet.
	if d.ctx.Err() != nil || p.set.cfg.Clock.Now() >= d.until {
		p.set.cfg.Count.Add(stats.InvitesCalledOff)
		d.finish(p.set.ending(dispatch.Moot))
		delete(c.dialogs, id)
		return false
	}
	// Guards against a process that stood still between the decision and the write spending a share of a budget
	// that is another controller's by now.
	if d.leaveBy > 0 && p.set.cfg.Clock.Now() > d.leaveBy {
		p.set.cfg.Count.Add(stats.StaleStopped)
		d.finish(p.set.ending(dispatch.Moot))
		delete(c.dialogs, id)
		return false
	}
	d.state, d.leftAt = out, p.set.cfg.Clock.Now()
	c.inviting.Store(true)
	// Guards against a release of the send before, which the pool has not said it heard, being said again on the
	// next connection: it has the same Call-ID, and would end what stands by this one. What is written before
	// this INVITE is heard before it.
	delete(c.unheard, id)
	p.set.cfg.Count.Add(stats.Invites)
	return true
}

// invite is one attempt at this pool, from its connection to its end.
func (p *pool) invite(ctx context.Context, a dispatch.Attempt) (dispatch.Leg, dispatch.Ending) {
	set := p.set
	until := time.NewTimer(time.Duration(a.Until-set.cfg.Clock.Now()) * time.Microsecond)
	defer until.Stop()
	c, dialled := p.current()
	if c == nil { // one dial is waited for, for as long as the site says: what it brings is the attempt's fate
		p.wake()
		late := time.NewTimer(time.Duration(set.cfg.ConnectTimeout) * time.Microsecond)
		defer late.Stop()
		select {
		case <-dialled:
		case <-late.C:
			set.cfg.Count.Add(stats.ConnectsFailed)
			return nil, set.ending(dispatch.ConnectFailed)
		case <-until.C:
			return nil, set.ending(dispatch.ConnectFailed)
		case <-ctx.Done():
			return nil, set.ending(dispatch.Cancelled)
		}
		if c, _ = p.current(); c == nil {
			set.cfg.Count.Add(stats.ConnectsFailed)
			return nil, set.ending(dispatch.ConnectFailed)
		}
	}
	d := &dialog{pool: p, number: a.Setup.Number, ctx: ctx, until: a.Until, leaveBy: a.LeaveBy, reply: make(chan reply, 1)}
	now := set.cfg.Clock.Now()
	invite := invitation(set.cfg.Name, a, a.Until-now)
	p.mu.Lock()
	c.sweep(now)
	select {
	case <-c.closed:
		p.mu.Unlock()
		return nil, set.ending(dispatch.Moot)
	default:
	}
	// Guards against the answer to a send that was called off passing for the answer to the next: pools
	// answer with the Call-ID alone, and number every INVITE 1.
	if c.dialogs[a.ID] != nil {
		p.mu.Unlock()
		set.cfg.Count.Add(stats.GuardStopped)
		return nil, set.ending(dispatch.Moot)
	}
	if p.conn != c || !c.sendItem(item{bytes: invite, dialog: d, id: a.ID}) {
		p.mu.Unlock()
		return nil, set.ending(dispatch.Moot)
	}
	c.dialogs[a.ID] = d
	p.mu.Unlock()

	outcome := dispatch.TimedOut
	select {
	case r := <-d.reply:
		return r.out()
	case <-until.C:
	case <-ctx.Done():
		outcome = dispatch.Cancelled
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	switch d.state {
	case over: // the reply was there first
		return (<-d.reply).out()
	case queued: // never written, and leave will see that it never is
		d.state = over
		delete(c.dialogs, a.ID)
		return nil, set.ending(dispatch.Moot)
	}
	d.state, d.calledOffAt = calledOff, set.cfg.Clock.Now()
	set.cfg.Count.Add(stats.Cancels)
	if outcome == dispatch.TimedOut {
		set.cfg.Count.Add(stats.TimeOuts)
		// Guards against waiting any longer at a connection on which nothing at all has come since the INVITE
		// left, or on which a message has stopped short: what else goes out on it is lost too. Whatever the pool
		// has made of the call is released on the next one, as this one may carry no CANCEL.
		quiet := c.heard.Load() < d.leftAt && d.calledOffAt-d.leftAt >= quietLeast/2
		begun := c.begun.Load()
		if quiet || begun > 0 && d.calledOffAt-begun >= stuckAfter {
			// Guards against calls that stand being lost with their connection: it is closed once another is open.
			if quiet && begun == 0 && len(p.standing) > 0 {
				c.doubtedAt = d.leftAt
				c.send(cancel(set.cfg.Name, a.ID, d.number))
				p.bye(a.ID, bye(set.cfg.Name, a.ID, d.number, dispatch.CauseNormal))
				return nil, set.ending(outcome)
			}
			set.cfg.Count.Add(stats.QuietPools)
			c.silent, c.quietFrom = true, d.leftAt
			p.bye(a.ID, bye(set.cfg.Name, a.ID, d.number, dispatch.CauseNormal))
			c.close()
			if !quiet {
				// The connection has failed, not the pool. Guards against a pool with most of all agents being held
				// back for half a second by two set-ups that an answer that broke off took with it. A quiet one may
				// be a pool that hangs.
				outcome = dispatch.Reset
			}
			return nil, set.ending(outcome)
		}
	}
	c.send(cancel(set.cfg.Name, a.ID, d.number))
	return nil, set.ending(outcome)
}

// out is the reply as dispatch.Trunk gives it; a nil leg must be a nil interface.
func (r reply) out() (dispatch.Leg, dispatch.Ending) {
	if r.leg == nil {
		return nil, r.ending
	}
	return r.leg, r.ending
}

func (p *pool) current() (*conn, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn, p.dialled
}

// sweep forgets dialogs that were called off long ago and never answered. The caller holds pool.mu.
func (c *conn) sweep(now int64) {
	for k, d := range c.dialogs {
		if d.state == calledOff && now-d.calledOffAt > calledOffFor {
			delete(c.dialogs, k)
		}
	}
}

// leg is a call that stands at a pool. It belongs to the pool, not to a connection.
type leg struct {
	pool       *pool
	id, number string
	sdp        string
	answeredAt int64
	doubtBy    int64 // its end may have been lost: it is released then, 0: never; under pool.mu
	once       sync.Once
	done       chan struct{}
	ending     dispatch.Ending
}

// SDP implements dispatch.Leg.
func (g *leg) SDP() string { return g.sdp }

// Done implements dispatch.Leg.
func (g *leg) Done() <-chan struct{} { return g.done }

// Ending implements dispatch.Leg.
func (g *leg) Ending() dispatch.Ending { return g.ending }

// end takes the call off the standing ones. Only the first call has an effect; it tells whether it was.
func (g *leg) end(e dispatch.Ending) bool {
	first := false
	g.once.Do(func() {
		first = true
		g.pool.set.remember(g.id)
		g.pool.mu.Lock()
		delete(g.pool.standing, g.id)
		g.pool.mu.Unlock()
		g.ending = e
		close(g.done)
	})
	return first
}

// Release implements dispatch.Leg. Without a connection the BYE waits for the next one.
func (g *leg) Release(cause int) {
	g.release(dispatch.Ending{Outcome: dispatch.Cancelled, At: g.pool.set.cfg.Clock.Now(), State: dispatch.Untold, Cause: cause})
}

func (g *leg) release(e dispatch.Ending) {
	p := g.pool
	if !g.end(e) {
		return
	}
	p.set.cfg.Count.Add(stats.ByesOut)
	b := bye(p.set.cfg.Name, g.id, g.number, e.Cause)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bye(g.id, b)
}

// bye sends a release, or keeps it for the next connection. The caller holds pool.mu.
func (p *pool) bye(id string, b []byte) {
	i := item{bytes: b, keep: true, id: id}
	if p.conn != nil && p.conn.sendItem(i) {
		return
	}
	if len(p.byes) < mostByes {
		p.byes = append(p.byes, i)
	}
}

// ---- the messages that a session controller sends ----

func request(name, method, id, number string, cseq int) *sip.Message {
	return &sip.Message{Method: method, URI: "sip:" + number + "@net", CallID: id, CSeq: cseq, Of: method,
		Headers: []sip.Header{{Name: "Via", Value: "SIP/2.0/TCP " + name}}}
}

// Every send begins a dialog of its own at its pool, so that INVITE, ACK and CANCEL are numbered 1 and BYE 2.

func invitation(name string, a dispatch.Attempt, patience int64) []byte {
	m := request(name, "INVITE", a.ID, a.Setup.Number, 1)
	m.Headers = append(m.Headers, sip.Header{Name: "Subject", Value: a.Class},
		sip.Header{Name: "X-Patience", Value: strconv.FormatInt(max(1, (patience+999)/1000), 10)})
	m.Body = []byte(a.SDP)
	return m.Append(nil)
}

func ack(name, id, number string) []byte {
	return request(name, "ACK", id, number, 1).Append(nil)
}

func cancel(name, id, number string) []byte {
	return request(name, "CANCEL", id, number, 1).Append(nil)
}

func bye(name, id, number string, cause int) []byte {
	m := request(name, "BYE", id, number, 2)
	m.Headers = append(m.Headers, sip.Header{Name: "Reason", Value: "Q.850;cause=" + strconv.Itoa(cause)})
	return m.Append(nil)
}
