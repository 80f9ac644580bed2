package sippool

// maxTrackedDeliveries is how many calls a connection's deliveries hold before those that do not matter any more are
// dropped.
const maxTrackedDeliveries = 256

// deliveries tracks, for one connection, of which calls the pool is known to have received everything that was written.
// A response proves that the request that it answers was received, and with it all that was written before. The zero
// value has seen no message; pool.mu guards it.
type deliveries struct {
	written  int64 // messages so far
	received int64 // of them, those that the pool is known to have received
	calls    map[string]*callDelivery
}

// callDelivery is what was written under one Call-ID.
type callDelivery struct {
	byMethod map[string]int64 // the number of the latest message, by method
	latest   int64
	until    int64 // no attempt of the call is made after this
}

// wrote takes a message that is about to be written, of a call of which attempts are made until then. If none is made
// any more, it does not matter when the message is received.
func (d *deliveries) wrote(now int64, callID, method string, until int64) {
	if until == 0 {
		return
	}
	if d.calls == nil {
		d.calls = map[string]*callDelivery{}
	}
	if len(d.calls) >= maxTrackedDeliveries {
		d.dropSettled(now)
	}
	d.written++
	call := d.calls[callID]
	if call == nil {
		call = &callDelivery{byMethod: map[string]int64{}}
		d.calls[callID] = call
	}
	call.byMethod[method], call.latest = d.written, d.written
	call.until = max(call.until, until)
}

// responded takes a response of the pool to a request of that method.
func (d *deliveries) responded(callID, method string) {
	call := d.calls[callID]
	if call == nil {
		return
	}
	d.received = max(d.received, call.byMethod[method])
	if call.latest <= d.received {
		delete(d.calls, callID)
	}
}

// inDoubt calls note for each call of which a message may not have been received yet.
func (d *deliveries) inDoubt(note func(callID string, until int64)) {
	for callID, call := range d.calls {
		if call.latest > d.received {
			note(callID, call.until)
		}
	}
}

// dropSettled drops the calls of which everything was received, or of which no attempt is made any more.
func (d *deliveries) dropSettled(now int64) {
	for callID, call := range d.calls {
		if call.latest <= d.received || now >= call.until {
			delete(d.calls, callID)
		}
	}
}
