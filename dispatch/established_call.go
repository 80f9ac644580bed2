package dispatch

import "context"

// EstablishedCall is a call that is established. End or WaitEnd must be called once.
type EstablishedCall struct {
	Leg
	dispatcher *Dispatcher
	call       uint64
	attempt    Attempt
}

// WaitEnd waits until the endpoint ends the call, or until released brings the cause with which the caller ends it,
// and reports the end. It returns the cause, and whether the endpoint ended the call: the caller must be notified then.
// When ctx is done first the call stays established.
func (c *EstablishedCall) WaitEnd(ctx context.Context, released <-chan int) (cause int, byPool bool) {
	select {
	case <-c.Done():
		ending := c.Ending()
		c.report(ending)
		return ending.Cause, true
	case cause = <-released:
		c.End(cause)
		return cause, false
	case <-ctx.Done():
		return 0, false
	}
}

// End releases the call towards the endpoint and reports its end.
func (c *EstablishedCall) End(cause int) {
	c.Release(cause)
	c.report(Ending{Outcome: Cancelled, At: c.dispatcher.Now(), Load: UnknownLoad})
}

func (c *EstablishedCall) report(ending Ending) {
	c.dispatcher.Report(Result{
		Call:     c.call,
		Attempt:  c.attempt.Number,
		Endpoint: c.attempt.Endpoint,
		Outcome:  ending.Outcome,
		Took:     ending.At - c.attempt.DecidedAt,
		Load:     ending.Load,
	})
}
