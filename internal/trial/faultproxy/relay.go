package faultproxy

import (
	"net"
	"sync"
	"time"
)

// relay is one connection that a link relays.
type relay struct {
	link    *Link
	number  uint64
	client  *net.TCPConn // the dialling party
	backend *net.TCPConn
	once    sync.Once
}

// serve relays a connection until one side ends it.
func (l *Link) serve(client *net.TCPConn) {
	l.awaitMode(func(mode Mode) bool { return mode != BlackHole })
	l.mu.Lock()
	address := l.backend
	l.last++
	number := l.last
	l.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(l.ctx, "tcp", address)
	if err != nil {
		resetConn(client)
		return
	}
	r := &relay{link: l, number: number, client: client, backend: raw.(*net.TCPConn)} //nolint:forcetypeassert // tcp
	l.mu.Lock()
	l.open[r] = struct{}{}
	l.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(r.copyToBackend)
	directions.Go(r.copyToClient)
	directions.Wait()
	l.mu.Lock()
	delete(l.open, r)
	l.mu.Unlock()
	r.close()
}

// copyToBackend passes on what the dialling party sends.
func (r *relay) copyToBackend() {
	buffer := make([]byte, copyBuffer)
	for {
		n, err := r.client.Read(buffer)
		if n > 0 {
			r.link.tap.Sent(r.number, buffer[:n])
			r.awaitPassage()
			if _, err := r.backend.Write(buffer[:n]); err != nil {
				r.close()
				return
			}
		}
		if err != nil {
			r.awaitPassage()
			r.close()
			return
		}
	}
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
func (r *relay) deliver(bytes []byte) bool {
	r.awaitPassage()
	switch r.link.takeStrike() {
	case StrikeReset:
		_ = r.write(bytes[:len(bytes)/2])
		r.reset()
		return false
	case StrikeHalf:
		_ = r.write(bytes[:len(bytes)/2])
		r.close()
		return false
	case StrikeFin:
		_ = r.write(bytes)
		r.close()
		return false
	case NoStrike:
	}
	if r.link.currentMode() == OneByte {
		for i := range bytes {
			if r.write(bytes[i:i+1]) != nil {
				r.close()
				return false
			}
		}
		return true
	}
	if r.write(bytes) != nil {
		r.close()
		return false
	}
	return true
}

func (r *relay) write(bytes []byte) error {
	r.link.tap.Delivered(r.number, bytes)
	_, err := r.client.Write(bytes)
	return err
}

// awaitPassage waits while the link is a black hole.
func (r *relay) awaitPassage() {
	for r.link.currentMode() == BlackHole && r.link.ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
}

// reset ends both sides with a reset.
func (r *relay) reset() {
	r.once.Do(func() {
		r.link.tap.Ended(r.number)
		resetConn(r.client)
		resetConn(r.backend)
	})
}

// close ends both sides.
func (r *relay) close() {
	r.once.Do(func() {
		r.link.tap.Ended(r.number)
		r.client.Close()
		r.backend.Close()
	})
}

// resetConn closes a connection with a reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0) // a connection that has ended needs no reset
	conn.Close()
}
