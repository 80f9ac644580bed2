package trial

import (
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"eidertrail/internal/backend/sip"
	"eidertrail/internal/trial/faultproxy"
)

// removalDelay is how long after a pool vanished or was replaced the list says so.
const removalDelay = 300 * time.Millisecond

// hang has the backend answer nothing for a while.
func (p *pool) hang(ctx context.Context, duration time.Duration) {
	b := p.current()
	b.mu.Lock()
	select {
	case <-b.hung:
		b.hung = make(chan struct{})
	default: // it hangs already
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	sleep(ctx, duration)
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		close(b.hung)
	}
}

// vanish has the pool's machine gone: nothing arrives any more, its calls are over, and the list removes it later.
// Then another pool takes its address.
func (p *pool) vanish(ctx context.Context, duration time.Duration) {
	p.setModes(faultproxy.BlackHole)
	b := p.current()
	b.mu.Lock()
	b.ended = true
	for id, call := range b.calls {
		call.end.Stop()
		p.world.callers.endedAtPool(id, b.uid)
	}
	b.calls = map[string]*poolCall{}
	b.mu.Unlock()
	sleep(ctx, removalDelay)
	p.world.announce(p, stateRemoved)
	sleep(ctx, duration)
	if ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	b.ended = false // so that end closes what it has
	b.mu.Unlock()
	b.end()
	p.succeed(ctx)
	p.setModes(faultproxy.Pass)
}

// replace ends the pool, and has another one take its address.
func (p *pool) replace(ctx context.Context) {
	p.current().end()
	sleep(ctx, removalDelay)
	p.world.announce(p, stateRemoved)
	p.succeed(ctx)
}

// succeed starts another pool at the pool's address, and lists it.
func (p *pool) succeed(ctx context.Context) {
	if err := p.startBackend(ctx, time.Now(), true); err != nil {
		return
	}
	p.relink()
	p.world.announce(p, stateUp)
}

// restart starts the pool's process anew, under its id.
func (p *pool) restart(ctx context.Context) {
	p.current().end()
	if err := p.startBackend(ctx, time.Now(), false); err != nil {
		return
	}
	p.relink()
	p.world.announce(p, stateUp)
}

// relink has the links lead to the current backend.
func (p *pool) relink() {
	address := p.current().listener.Addr().String()
	for _, link := range p.links {
		link.SetBackend(address)
	}
}

// drain drains the pool for a while.
func (p *pool) drain(ctx context.Context, duration time.Duration) {
	uid, _ := p.identity()
	p.world.announce(p, stateDraining)
	sleep(ctx, duration)
	if now, _ := p.identity(); now == uid { // it is the same pool yet
		p.world.announce(p, stateUp)
	}
}

func (p *pool) setModes(mode faultproxy.Mode) {
	for _, link := range p.links {
		if err := link.SetMode(mode); err != nil {
			p.world.timeline.add(fmt.Sprintf("pool %d", p.number), err.Error())
		}
	}
}

// spoil answers a set-up with what cannot be read. The set-up has run.
func (b *backend) spoil(conn net.Conn, invite *sip.Message) {
	head := "SIP/2.0 200 OK\r\nCall-ID: " + invite.CallID + "\r\nCSeq: 1 INVITE\r\n"
	texts := []string{
		"\x00\xff\x13noise\r\n\r\n",
		head + "Content-Length: 3000000000\r\n\r\nv=0\r\n",
		head + "Content-Length: -4\r\n\r\n",
		head + "X: " + strings.Repeat("x", sip.MaxMessageBytes),
		head + "Content-Length: 40\r\n\r\nv=0\r\n", // stops short
		"", // never arrives
	}
	broken := len(texts) // half of a head, then the end of the connection
	switch drawn := b.pool.world.randomInt(len(texts) + 1); drawn {
	case broken:
		write(conn, []byte(head[:len(head)/2]))
		conn.Close()
	default:
		write(conn, []byte(texts[drawn]))
	}
}

// spoilNext and repeatNext have the next answers spoilt, and brought with more than belongs to them.
func (p *pool) spoilNext(count int) {
	b := p.current()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spoils += count
}

func (p *pool) repeatNext(count int) {
	b := p.current()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.extras += count
}
