package faultproxy

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"eidertrail/internal/trial/arrival"
)

// relay is one connection that a link relays.
type relay struct {
	link         *Link
	number       uint64
	client       *arrival.Conn // the dialling party
	backend      *net.TCPConn
	pending      chan []byte // from the client, read and not written yet; closed by readClient
	clientClosed atomic.Bool // it has ended the connection: nothing reaches it any more

	tapMu sync.Mutex // held while the tap is called for what the client does
	ended bool       // for the tap

	mu       sync.Mutex
	finished bool // both sides have ended
}

// pendingReads bounds what a black hole holds back; a client that sends more has to wait.
const pendingReads = 1024

// serve relays a connection until one side ends it. It is read from the beginning, whenever the backend can be reached.
func (l *Link) serve(client *net.TCPConn) {
	r := &relay{link: l, client: arrival.New(client), pending: make(chan []byte, pendingReads)}
	l.mu.Lock()
	l.last++
	r.number = l.last
	l.open[r] = struct{}{}
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(r.readClient)
	if r.connect() {
		directions.Go(r.copyToBackend)
		directions.Go(r.copyToClient)
	} else {
		r.reset()
		for range r.pending { // it goes nowhere
		}
	}
	directions.Wait()
	l.mu.Lock()
	delete(l.open, r)
	l.mu.Unlock()
	r.close()
}

// connect opens the connection to the backend, once the link is no black hole any more.
func (r *relay) connect() bool {
	l := r.link
	r.awaitPassage()
	l.mu.Lock()
	address := l.backend
	l.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout, LocalAddr: l.source}
	raw, err := dialer.DialContext(l.ctx, "tcp", address)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		raw.Close()
		return false
	}
	r.backend = raw.(*net.TCPConn) //nolint:forcetypeassert // of the network tcp
	return true
}

// readClient reads what the dialling party sends at once, also while the link is a black hole: the tap sees when it was
// sent, and that the connection has ended.
func (r *relay) readClient() {
	defer close(r.pending)
	buffer := make([]byte, copyBuffer)
	for {
		n, err := r.client.Read(buffer)
		if n > 0 {
			r.tapSent(buffer[:n], r.client.LastArrival())
			r.pending <- bytes.Clone(buffer[:n])
		}
		if err != nil {
			r.clientClosed.Store(true)
			r.tapEnded()
			return
		}
	}
}

// tapSent has the tap take what the client has sent. What was read while the connection was ended from the other side
// ends with it: nobody else would tell the tap.
func (r *relay) tapSent(sent []byte, at time.Time) {
	r.tapMu.Lock()
	defer r.tapMu.Unlock()
	r.link.tap.Sent(r.number, sent, at)
	if r.ended {
		r.link.tap.Ended(r.number)
	}
}

// tapEnded tells the tap that the connection has ended for the client.
func (r *relay) tapEnded() {
	r.tapMu.Lock()
	defer r.tapMu.Unlock()
	if !r.ended {
		r.ended = true
		r.link.tap.Ended(r.number)
	}
}

// copyToBackend passes on what the dialling party has sent.
func (r *relay) copyToBackend() {
	for sent := range r.pending {
		r.awaitPassage()
		if _, err := r.backend.Write(sent); err != nil {
			r.close()
		}
	}
	r.awaitPassage()
	r.close()
}

// copyToClient passes on what the backend sends, with the faults that are due.
func (r *relay) copyToClient() {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := r.backend.Read(buffer)
		if n > 0 && !r.deliver(buffer[:n]) {
			return
		}
		if err != nil {
			r.awaitPassage()
			r.close()
			return
		}
	}
}

// deliver writes bytes to the dialling party, and reports whether the connection goes on.
func (r *relay) deliver(text []byte) bool {
	r.awaitPassage()
	switch r.link.takeStrike() {
	case StrikeReset:
		_ = r.write(text[:len(text)/2])
		r.reset()
		return false
	case StrikeHalf:
		_ = r.write(text[:len(text)/2])
		r.close()
		return false
	case StrikeFin:
		_ = r.write(text)
		r.close()
		return false
	case NoStrike:
	}
	if r.link.currentMode() == OneByte {
		for i := range text {
			if r.write(text[i:i+1]) != nil {
				r.close()
				return false
			}
		}
		return true
	}
	if r.write(text) != nil {
		r.close()
		return false
	}
	return true
}

func (r *relay) write(text []byte) error {
	if r.clientClosed.Load() {
		return net.ErrClosed
	}
	r.link.tap.Delivering(r.number, text)
	_, err := r.client.Write(text)
	if err == nil {
		r.link.tap.Delivered(r.number, text)
	}
	return err
}

// awaitPassage waits while the link is a black hole.
func (r *relay) awaitPassage() {
	for r.link.currentMode() == BlackHole && r.link.ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// reset ends both sides with a reset.
func (r *relay) reset() { r.end(resetConn) }

// close ends both sides.
func (r *relay) close() {
	r.end(func(conn *net.TCPConn) { _ = conn.Close() }) // it is given up
}

// end ends both sides, unless they have ended.
func (r *relay) end(endConn func(conn *net.TCPConn)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished {
		return
	}
	r.finished = true
	r.tapEnded()
	endConn(r.client.TCPConn)
	if r.backend != nil {
		endConn(r.backend)
	}
}

// resetConn closes a connection with a reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a connection that has ended needs no reset
	_ = conn.Close()      // it is given up
}
