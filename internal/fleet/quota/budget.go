// Package budget divides whole budgets (what a pool can take from all controllers together) among the members
// of a fleet, so that what is in force never sums to more than the whole, whatever is lost, late, stopped or
// started anew, and whoever believes what of whom.
//
// Every member owns an equal share of each whole, for good: it is what it falls back to when it hears nobody.
// What it does not need it lends, for a lease: the borrower counts it from when it asked, the lender from when
// it granted and for a margin more, so the borrower has stopped using it when the lender starts again. A member
// that has just started does not know what its last life lent, and keeps to the part that is never lent until
// any such lease has run out. docs/design-budgets.md shows why nothing else may be handed out.
//
// A Ledger is one member's books. It does no I/O and reads no clock: times are µs of a clock of the member's
// own that never moves backwards. It is not safe for concurrent use.
package quota

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
)

const (
	// MaxResources bounds the wholes that are divided at a time.
	MaxResources = 64
	// MaxNameLength is the longest name of a resource, in bytes.
	MaxNameLength = 100
	// renewals is how many times within its length a lease is asked for again.
	renewals = 2
)

// Config is what a Ledger is made with.
type Config struct {
	Self, Members int
	// Incarnation is another for each start of the member: an answer to a question of its last life is not taken for
	// one to this life's.
	Incarnation uint32
	Unit        int   // a member's own share of a whole, in units: the whole is Members * Unit
	Reserved    int   // the part of it that is never lent
	TTL         int64 // the length of a lease, µs
	// Margin is for how much longer the lender takes it for out, µs: it has to cover what two clocks may differ
	// in a lease, and the time from a decision to the set-up's leaving.
	Margin int64
}

// ErrConfig tells of a Config that makes no sense; the message names the field.
var ErrConfig = errors.New("budget: bad config")

// Check tells what is wrong with the Config.
func (c Config) Check() error {
	switch {
	case c.Members < 1 || c.Self < 0 || c.Self >= c.Members:
		return fmt.Errorf("%w: member %d of %d", ErrConfig, c.Self, c.Members)
	case c.Unit < 1 || c.Reserved < 0 || c.Reserved > c.Unit:
		return fmt.Errorf("%w: keep: want 0 to 1", ErrConfig)
	case c.TTL < 1000 || c.Margin < 0:
		return fmt.Errorf("%w: lease, margin: want a lease of 1ms or more, a margin of 0 or more", ErrConfig)
	}
	return nil
}

// Out is a message to another member.
type Out struct {
	To   int
	Body []byte
}

type loan struct {
	units int
	until int64
	req   uint64 // the question that it answers
}

type ask struct {
	req uint64
	at  int64
}

// resource is the books of one whole.
type resource struct {
	wants    int            // units that this member could use
	asked    map[int]ask    // the latest question to each lender
	borrowed map[int]loan   // by lender: what may be used
	lent     map[int][]loan // by borrower: every grant that may be in force there; it uses one of them at a time
	used     int64          // when it was last wanted here, or lent of
}

// Allocator is one member's books of all wholes.
type Allocator struct {
	cfg       Config
	freshTill int64 // until then leases of an earlier life may be in force
	alive     []bool
	resources map[string]*resource
	req       uint64
	count     Counts
}

// Counts are what a Ledger has seen; all only grow.
type Counts struct{ Requested, Granted, Borrowed uint64 }

// New opens the books of a member that starts now.
func New(cfg Config, now int64) (*Allocator, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Allocator{
		cfg: cfg, freshTill: now + cfg.TTL + cfg.Margin, alive: make([]bool, cfg.Members),
		resources: map[string]*resource{}, req: uint64(cfg.Incarnation) << 32,
	}, nil
}

// Counts returns what the ledger has seen.
func (l *Allocator) Counts() Counts { return l.count }

// Total is the units of a whole.
func (l *Allocator) Total() int { return l.cfg.Members * l.cfg.Unit }

// SetAlive takes who is held alive: others are not asked.
func (l *Allocator) SetAlive(alive []bool) { copy(l.alive, alive) }

// get finds or opens the books of a whole; nil where there are too many.
func (l *Allocator) get(now int64, name string) *resource {
	r := l.resources[name]
	if r == nil {
		if name == "" || len(name) > MaxNameLength || len(l.resources) >= MaxResources && !l.forget(now) {
			return nil
		}
		r = &resource{asked: map[int]ask{}, borrowed: map[int]loan{}, lent: map[int][]loan{}}
		l.resources[name] = r
	}
	r.used = now
	return r
}

// forget drops the books longest unused, if no lease may be in force on them.
func (l *Allocator) forget(now int64) bool {
	oldest, found := "", false
	for name, r := range l.resources {
		if now-r.used > l.cfg.TTL+l.cfg.Margin && (!found || r.used < l.resources[oldest].used) {
			oldest, found = name, true
		}
	}
	delete(l.resources, oldest)
	return found
}

// out is what may be in force at the borrowers, but for one of them.
func (r *resource) out(now int64, but int) int {
	sum := 0
	for to := range r.lent {
		if to != but {
			sum += r.outTo(now, to)
		}
	}
	return sum
}

// outTo is what may be in force at one borrower: the largest of the grants that have not run out, as which of
// them it has heard of is not known.
func (r *resource) outTo(now int64, to int) int {
	most := 0
	r.lent[to] = slices.DeleteFunc(r.lent[to], func(g loan) bool { return now >= g.until })
	for _, g := range r.lent[to] {
		most = max(most, g.units)
	}
	return most
}

// own is what this member has of its own share now.
func (l *Allocator) own(now int64, r *resource) int {
	if now < l.freshTill {
		return l.cfg.Reserved
	}
	if r == nil {
		return l.cfg.Unit
	}
	return l.cfg.Unit - r.out(now, -1)
}

// Quota is the units of a whole that this member may use now.
func (l *Allocator) Quota(now int64, name string) int {
	r := l.resources[name]
	units := l.own(now, r)
	if r != nil {
		for _, b := range r.borrowed {
			if now < b.until {
				units += b.units
			}
		}
	}
	return units
}

// Demand tells how many units this member could use of a whole from now on.
func (l *Allocator) Demand(now int64, name string, units int) {
	if r := l.get(now, name); r != nil {
		r.wants = min(max(units, 0), l.Total())
	}
}

// Tick asks others for what is missing, and again before it runs out.
func (l *Allocator) Tick(now int64) []Out {
	var out []Out
	for _, name := range l.names() {
		r := l.resources[name]
		missing := r.wants - l.own(now, r)
		var lenders []int
		held := 0
		for m, alive := range l.alive {
			if alive && m != l.cfg.Self {
				lenders = append(lenders, m)
			}
		}
		for from, b := range r.borrowed {
			if now >= b.until {
				delete(r.borrowed, from)
			} else {
				held += b.units
			}
		}
		if missing <= 0 {
			out = append(out, r.giveBack(name)...)
			continue
		}
		for _, m := range lenders {
			if a, asked := r.asked[m]; asked && now-a.at < l.cfg.TTL/renewals {
				continue
			}
			// What it lends already, and a part of what is still missing; less if there is more than enough.
			want := r.borrowed[m].units
			if missing >= held {
				want += (missing - held + len(lenders) - 1) / len(lenders)
			} else if held > 0 {
				want = (want*missing + held - 1) / held
			}
			if want <= 0 {
				continue
			}
			l.req++
			r.asked[m] = ask{l.req, now}
			l.count.Requested++
			out = append(out, Out{m, encode(askKind, l.req, want, name)})
		}
	}
	return out
}

// giveBack ends all that is borrowed: it is used no more from now on, and its lenders are told.
func (r *resource) giveBack(name string) (out []Out) {
	from := make([]int, 0, len(r.borrowed))
	for m := range r.borrowed {
		from = append(from, m)
	}
	slices.Sort(from)
	for _, m := range from {
		out = append(out, Out{m, encode(returnKind, r.asked[m].req, 0, name)})
		delete(r.asked, m) // an answer that is still to come is not taken
	}
	clear(r.borrowed)
	return out
}

func (l *Allocator) names() []string {
	names := make([]string, 0, len(l.resources))
	for n := range l.resources {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// Receive takes a message of another member, and returns the answer to it, if any. What makes no sense is an
// error, and changes nothing.
func (l *Allocator) Receive(now int64, from int, body []byte) ([]Out, error) {
	kind, req, units, name, err := decode(body)
	if err != nil || from < 0 || from >= l.cfg.Members || from == l.cfg.Self {
		return nil, errors.Join(err, errFrom(from, l.cfg))
	}
	r := l.get(now, name)
	if r == nil {
		return nil, fmt.Errorf("budget: no room for %q beside %d others", name, len(l.resources))
	}
	if kind == grantKind {
		if a, asked := r.asked[from]; asked && a.req == req {
			r.borrowed[from] = loan{min(units, l.cfg.Unit), a.at + l.cfg.TTL, req}
			l.count.Borrowed++
		}
		return nil, nil
	}
	if kind == returnKind {
		// What was granted up to that question is used no more, but for decisions on their way.
		for i, g := range r.lent[from] {
			if g.req <= req {
				r.lent[from][i].until = min(g.until, now+l.cfg.Margin)
			}
		}
		return nil, nil
	}
	grant := 0
	if now >= l.freshTill {
		grant = max(0, min(units, l.cfg.Unit-r.out(now, from)-max(l.cfg.Reserved, r.wants)))
	}
	if grant > 0 {
		l.count.Granted++
		r.lent[from] = append(r.lent[from], loan{grant, now + l.cfg.TTL + l.cfg.Margin, req})
	}
	return []Out{{from, encode(grantKind, req, grant, name)}}, nil
}

func errFrom(from int, c Config) error {
	if from < 0 || from >= c.Members || from == c.Self {
		return fmt.Errorf("budget: a message from member %d", from)
	}
	return nil
}

// ---- messages: kind (1 byte), request (8), units (4), name ----

const (
	askKind    = 1
	grantKind  = 2
	returnKind = 3
	headSize   = 13
)

// IsMessage tells whether a body is one of a ledger's.
func IsMessage(body []byte) bool { return len(body) > 0 && body[0] >= askKind && body[0] <= returnKind }

func encode(kind byte, req uint64, units int, name string) []byte {
	b := make([]byte, 0, headSize+len(name))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint64(b, req)
	b = binary.BigEndian.AppendUint32(b, uint32(units))
	return append(b, name...)
}

func decode(b []byte) (kind byte, req uint64, units int, name string, err error) {
	if len(b) <= headSize || len(b) > headSize+MaxNameLength || b[0] < askKind || b[0] > returnKind {
		return 0, 0, 0, "", fmt.Errorf("budget: a body of %d bytes makes no sense", len(b))
	}
	units32 := binary.BigEndian.Uint32(b[9:])
	if units32 > 1<<30 {
		return 0, 0, 0, "", fmt.Errorf("budget: %d units", units32)
	}
	return b[0], binary.BigEndian.Uint64(b[1:]), int(units32), string(b[headSize:]), nil
}
