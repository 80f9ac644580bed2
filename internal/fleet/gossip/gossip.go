// Package gossip runs a cluster.Node on a UDP socket: datagrams of at most 256 bytes to the addresses of the
// configuration's peers, from the one that this controller listens on. One loop goroutine owns the Node.
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"eidertrail/internal/fleet/swim"
	"eidertrail/internal/telemetry"
)

// Config is what a Runner is made with.
type Config struct {
	Node        swim.Config
	Listen      string   // UDP address:port
	Peers       []string // by member number, this one's own included and not used
	Fleet       string   // datagrams of another fleet are passed over
	Incarnation uint64
	Seed        uint64
	Clock       interface{ Now() int64 } // µs, never backwards
	Log         zerolog.Logger
	Counters    *telemetry.Counters
	// Receive takes the bodies that members send with Send, View the members whenever one has changed. Both are
	// called by the loop, and must not block.
	Receive func(now int64, from int, body []byte)
	View    func(now int64, members []swim.Member)
	// Every is called by the loop every so often (EveryMicros, 0: never), and may Send.
	Every       func(now int64, send func(to int, body []byte))
	EveryMicros int64
}

const (
	// mostWaiting datagrams wait for the loop; past it they are dropped, as a network would.
	mostWaiting = 256
	// farewell is how long the last messages may take to be written.
	farewell = 100 * time.Millisecond
)

// Runner is a member that runs.
type Runner struct {
	cfg     Config
	fleet   uint32
	peers   []netip.AddrPort
	conn    *net.UDPConn
	node    *swim.Node
	in      chan datagram
	posts   chan func(now int64)
	done    chan struct{}
	members atomic.Pointer[[]swim.Member]
	health  atomic.Int64
	wg      sync.WaitGroup
}

type datagram struct {
	from  netip.AddrPort
	bytes []byte
}

// Start opens the socket and runs the member until ctx is done. Wait waits for its end.
func Start(ctx context.Context, cfg Config) (*Runner, error) {
	r := &Runner{
		cfg: cfg, fleet: swim.FleetID(cfg.Fleet), in: make(chan datagram, mostWaiting),
		posts: make(chan func(int64), 16), done: make(chan struct{}),
	}
	if len(cfg.Peers) != cfg.Node.Members {
		return nil, fmt.Errorf("cluster: peers: %d addresses for %d members", len(cfg.Peers), cfg.Node.Members)
	}
	for i, p := range cfg.Peers {
		a, err := net.ResolveUDPAddr("udp", p)
		if err != nil {
			return nil, fmt.Errorf("cluster: peers[%d]: %w", i, err)
		}
		r.peers = append(r.peers, unmapped(a.AddrPort()))
	}
	listen, err := net.ResolveUDPAddr("udp", cfg.Listen)
	if err != nil {
		return nil, fmt.Errorf("cluster: peer_listen: %w", err)
	}
	if r.conn, err = net.ListenUDP("udp", listen); err != nil {
		return nil, fmt.Errorf("cluster: peer_listen: %w", err)
	}
	now := cfg.Clock.Now()
	if r.node, err = swim.New(cfg.Node, cfg.Incarnation, cfg.Seed, now); err != nil {
		r.conn.Close()
		return nil, err
	}
	r.publish(now, true)
	r.wg.Add(2)
	go r.read()
	go r.loop(ctx)
	return r, nil
}

func unmapped(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// Addr is where the member listens.
func (r *Runner) Addr() net.Addr { return r.conn.LocalAddr() }

// Members is the view as it is now, by member number.
func (r *Runner) Members() []swim.Member { return *r.members.Load() }

// Health is the local health score, 0 for well.
func (r *Runner) Health() int { return int(r.health.Load()) }

// Leave says to all that this member goes, and returns when that is written.
func (r *Runner) Leave() {
	left := make(chan struct{})
	late := time.NewTimer(farewell)
	defer late.Stop()
	select {
	case r.posts <- func(now int64) { r.node.Leave(now); r.flush(now); close(left) }:
	case <-r.done:
		return
	case <-late.C:
		return
	}
	select {
	case <-left:
	case <-r.done:
	case <-late.C:
	}
}

// Wait returns when the member has ended.
func (r *Runner) Wait() { r.wg.Wait() }

func (r *Runner) read() {
	defer r.wg.Done()
	buffer := make([]byte, swim.MaxDatagram+1) // a longer one shows
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as a refusal by a peer that has gone
			continue
		}
		r.cfg.Counters.Add(telemetry.PeerIn)
		select {
		case r.in <- datagram{unmapped(from), append([]byte(nil), buffer[:n]...)}:
		default:
			r.cfg.Counters.Add(telemetry.PeerDropped)
		}
	}
}

func (r *Runner) loop(ctx context.Context) {
	defer r.wg.Done()
	defer r.conn.Close()
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	every := r.cfg.Clock.Now()
	r.flush(every)
	for {
		now := r.cfg.Clock.Now()
		wait := r.node.Next() - now
		if r.cfg.EveryMicros > 0 {
			wait = min(wait, every-now)
		}
		timer.Reset(time.Duration(max(0, wait)) * time.Microsecond)
		var d datagram
		var post func(int64)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case d = <-r.in:
		case post = <-r.posts:
		}
		now = r.cfg.Clock.Now()
		r.node.Tick(now) // first: what waited while this process stood still is heard after it knows that it did
		if d.bytes != nil {
			r.receive(now, d)
		}
		if post != nil {
			post(now)
		}
		if r.cfg.EveryMicros > 0 && now >= every {
			every = now + r.cfg.EveryMicros
			r.cfg.Every(now, r.send)
		}
		r.flush(now)
	}
}

func (r *Runner) receive(now int64, d datagram) {
	m, err := swim.Parse(d.bytes, r.fleet)
	if err == nil && (m.From >= len(r.peers) || r.peers[m.From] != d.from) {
		err = fmt.Errorf("%w: from %s, which is not member %d's address", swim.ErrDatagram, d.from, m.From)
	}
	if err != nil {
		r.cfg.Counters.Add(telemetry.PeerBad)
		r.cfg.Log.Warn().Err(err).Stringer("from", d.from).Msg("bad datagram")
		return
	}
	r.node.Receive(now, m)
	if m.Kind == swim.User && r.cfg.Receive != nil {
		r.cfg.Receive(now, m.From, m.Body)
	}
}

// send sends a body to a member; the loop's callbacks use it.
func (r *Runner) send(to int, body []byte) {
	r.write(swim.Envelope{To: to, Message: swim.Message{
		Kind: swim.User, From: r.cfg.Node.Self,
		Incarnation: r.node.Incarnation(), Body: body,
	}})
}

// flush writes what the node wants sent, and tells what has changed.
func (r *Runner) flush(now int64) {
	out, changes := r.node.Take()
	for _, o := range out {
		r.write(o)
	}
	for _, c := range changes {
		switch c.Current {
		case swim.Suspect:
			r.cfg.Counters.Add(telemetry.MembersSuspected)
		case swim.Dead:
			r.cfg.Counters.Add(telemetry.MembersDied)
		}
		if c.Previous != c.Current {
			r.cfg.Log.Info().Int("member", c.Member).Stringer("was", c.Previous).Stringer("is", c.Current).
				Uint64("incarnation", c.Incarnation).Int("health", r.node.Health()).Msg("member")
		}
	}
	if h := int64(r.node.Health()); h != r.health.Swap(h) || len(changes) > 0 {
		r.publish(now, len(changes) > 0)
	}
}

func (r *Runner) publish(now int64, changed bool) {
	view := r.node.View()
	r.members.Store(&view)
	if changed && r.cfg.View != nil {
		r.cfg.View(now, view)
	}
}

func (r *Runner) write(o swim.Envelope) {
	b, err := o.Message.Append(make([]byte, 0, swim.MaxDatagram), r.fleet)
	if err != nil {
		r.cfg.Log.Error().Err(err).Msg("datagram not sent")
		return
	}
	r.cfg.Counters.Add(telemetry.PeerOut)
	r.cfg.Counters.AddN(telemetry.PeerBytesOut, int64(len(b)))
	if _, err := r.conn.WriteToUDPAddrPort(b, r.peers[o.To]); err != nil {
		r.cfg.Counters.Add(telemetry.PeerUnsent) // as good as lost on its way
	}
}
