package trial

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"eidertrail/internal/trial/faultproxy"
)

// reportInterval is the time between load reports.
const reportInterval = 250 * time.Millisecond

// pool is a sync pool: one backend at a time behind a link for each process.
type pool struct {
	world  *world
	number int
	links  []*faultproxy.Link // by process
	taps   []*tap

	mu           sync.Mutex
	backend      *backend
	uid          string
	startedAt    time.Time // of a late start, zero for those of the beginning
	incarnations int
}

func newPool(ctx context.Context, w *world, number int) (*pool, error) {
	p := &pool{world: w, number: number}
	if err := p.startBackend(ctx, time.Time{}, true); err != nil {
		return nil, err
	}
	w.tasks.Go(func() { p.reportLoad(ctx) })
	return p, nil
}

// startBackend starts a process of the pool, as another pool where renamed is set.
func (p *pool) startBackend(ctx context.Context, startedAt time.Time, renamed bool) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("trial: %w", err)
	}
	defer p.current().end() // where another one was started meanwhile, it goes
	p.mu.Lock()
	defer p.mu.Unlock()
	if renamed {
		p.incarnations++
		p.uid = fmt.Sprintf("s-%d-%d", p.number, p.incarnations)
	}
	p.startedAt = startedAt
	hung := make(chan struct{})
	close(hung)
	p.backend = &backend{
		pool:      p,
		uid:       p.uid,
		listener:  listener,
		calls:     map[string]*poolCall{},
		hung:      hung,
		late:      map[string][][]byte{},
		cancelled: map[string]bool{},
	}
	started := p.backend
	p.world.tasks.Go(func() { started.accept() })
	return nil
}

// link puts a link between a process and the pool.
func (p *pool) link(process *process) error {
	t := newTap(p.world, process, p)
	address := p.world.network.link(process.index, p.number)
	link, err := faultproxy.Listen(address, p.current().listener.Addr().String(), t)
	if err != nil {
		return err
	}
	p.links = append(p.links, link)
	p.taps = append(p.taps, t)
	return nil
}

func (p *pool) current() *backend {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.backend
}

// identity is the pool's id and the time of its start, as the list has them.
func (p *pool) identity() (uid string, startedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.uid, p.startedAt
}

// reportLoad reports free agents on all connections, periodically.
func (p *pool) reportLoad(ctx context.Context) {
	for sleep(ctx, reportInterval) {
		p.current().report()
	}
}

func (p *pool) close() {
	for _, link := range p.links {
		link.Close()
	}
	p.current().end()
}
