// Package quota divides the total of each resource (what a pool can take from all controllers together) among the
// members of a fleet, so that the units in use never sum to more than the total, whatever messages are lost or late and
// whichever members stop, restart or suspect each other.
//
// Every member owns an equal quota of each resource for good: it falls back to that when it reaches nobody. What it
// does not need it lends for the length of a lease (Gray and Cheriton, 1989). The borrower counts the lease from its
// request, the lender from its grant and for a margin more, so the borrower stops using the units before the lender
// starts again. A member that has just started does not know what it lent before, and keeps to the reserved units,
// which are never lent, until any such lease has expired. docs/design-budgets.md shows why nothing else may be lent.
//
// An Allocator does no I/O and reads no clock: times are µs of the member's own monotonic clock. It is not safe for
// concurrent use; a SharedAllocator is.
package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// requestsPerLease is how often a lease is requested within its length, so one lost message does not end it.
const requestsPerLease = 2

// incarnationShift places the incarnation in the upper half of the request numbers, so they differ at each start.
const incarnationShift = 32

// Out is a message to another member.
type Out struct {
	To   int
	Body []byte
}

// Counts are an allocator's counters; all only grow.
type Counts struct {
	Requested uint64 // requests sent
	Granted   uint64 // leases granted, without grants of 0 units
	Borrowed  uint64 // grants received
}

// Allocator is one member's accounts of all resources.
type Allocator struct {
	cfg           Config
	recoveredAt   int64 // until then, leases granted by an earlier incarnation may be in force
	alive         []bool
	resources     map[string]*resource
	latestRequest uint64
	counts        Counts
}

// New returns the allocator of a member that starts now.
func New(cfg Config, now int64) (*Allocator, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Allocator{
		cfg:           cfg,
		recoveredAt:   now + cfg.leaseAtLender(),
		alive:         make([]bool, cfg.Members),
		resources:     map[string]*resource{},
		latestRequest: uint64(cfg.Incarnation) << incarnationShift,
	}, nil
}

// Counts returns the allocator's counters.
func (a *Allocator) Counts() Counts { return a.counts }

// Total is the units of a resource that all members own together.
func (a *Allocator) Total() int { return a.cfg.Members * a.cfg.OwnedUnits }

// SetAlive replaces the set of members that are alive, by index; the others get no requests.
func (a *Allocator) SetAlive(alive []bool) { copy(a.alive, alive) }

// Quota is the units of a resource that this member may use now.
func (a *Allocator) Quota(now int64, name string) int {
	r := a.resources[name]
	if r == nil {
		return a.unlentUnits(now, nil)
	}
	return a.unlentUnits(now, r) + r.usableLeases(now)
}

// unlentUnits is how many of its own units this member may use now; nil is a resource of which nothing is lent.
func (a *Allocator) unlentUnits(now int64, r *resource) int {
	switch {
	case now < a.recoveredAt:
		return a.cfg.Reserved
	case r == nil:
		return a.cfg.OwnedUnits
	default:
		return a.cfg.OwnedUnits - r.lentExcept(now, noMember)
	}
}

// Demand sets how many units of a resource this member could use from now on.
func (a *Allocator) Demand(now int64, name string, units int) {
	if r := a.open(now, name); r != nil {
		r.demand = min(max(units, 0), a.Total())
	}
}

// open finds or opens the accounts of a resource; nil where there are too many, or the name is invalid.
func (a *Allocator) open(now int64, name string) *resource {
	r := a.resources[name]
	if r == nil {
		if name == "" || len(name) > MaxNameLength || len(a.resources) >= MaxResources && !a.evict(now) {
			return nil
		}
		r = newResource()
		a.resources[name] = r
	}
	r.lastUsedAt = now
	return r
}

// evict closes the least recently used accounts, provided that no lease can be in force on them.
func (a *Allocator) evict(now int64) bool {
	oldest, found := "", false
	for name, r := range a.resources {
		if now-r.lastUsedAt > a.cfg.leaseAtLender() && (!found || r.lastUsedAt < a.resources[oldest].lastUsedAt) {
			oldest, found = name, true
		}
	}
	delete(a.resources, oldest)
	return found
}

// Tick requests leases for what is missing, renews them before they expire, and returns what is not needed.
func (a *Allocator) Tick(now int64) []Out {
	lenders := a.alivePeers()
	var out []Out
	for _, name := range slices.Sorted(maps.Keys(a.resources)) {
		r := a.resources[name]
		missing := r.demand - a.unlentUnits(now, r)
		r.expireBorrowed(now)
		if missing <= 0 {
			out = append(out, r.returnAll(name)...)
			continue
		}
		out = append(out, a.requestLeases(now, name, missing, lenders)...)
	}
	return out
}

// alivePeers returns the other members that are alive.
func (a *Allocator) alivePeers() []int {
	var peers []int
	for member, alive := range a.alive {
		if alive && member != a.cfg.Self {
			peers = append(peers, member)
		}
	}
	return peers
}

// requestLeases requests the missing units of a resource from the lenders whose last request is long enough ago.
func (a *Allocator) requestLeases(now int64, name string, missing int, lenders []int) []Out {
	r := a.resources[name]
	borrowed := r.usableLeases(now)
	var out []Out
	for _, lender := range lenders {
		if !r.requestDue(now, lender, a.cfg.TTL/requestsPerLease) {
			continue
		}
		units := unitsToRequest(r.unitsFrom(lender), borrowed, missing, len(lenders))
		if units <= 0 {
			continue
		}
		a.latestRequest++
		a.counts.Requested++
		r.recordRequest(now, lender, a.latestRequest)
		request := message{kind: requestMessage, request: a.latestRequest, units: units, resource: name}
		out = append(out, Out{lender, request.encode()})
	}
	return out
}

// unitsToRequest is what to request from one of the lenders: what it lends already and its part of what is lacking
// still, or in proportion less where more is borrowed than is missing.
func unitsToRequest(current, borrowed, missing, lenders int) int {
	if missing >= borrowed {
		return current + divideRoundingUp(missing-borrowed, lenders)
	}
	return divideRoundingUp(current*missing, borrowed)
}

func divideRoundingUp(dividend, divisor int) int { return (dividend + divisor - 1) / divisor }

// Receive takes a message of another member, and returns the answer to it, if any. An invalid message returns an error
// with a *MessageError in its chain, or a *CapacityError, and changes nothing.
func (a *Allocator) Receive(now int64, from int, body []byte) ([]Out, error) {
	received, err := decode(body)
	if senderErr := a.checkSender(from); err != nil || senderErr != nil {
		return nil, errors.Join(err, senderErr)
	}
	r := a.open(now, received.resource)
	if r == nil {
		return nil, &CapacityError{Resource: received.resource, Others: len(a.resources)}
	}
	switch received.kind {
	case grantMessage:
		a.receiveGrant(r, from, received)
	case returnMessage:
		r.returnedBy(now, from, received.request, a.cfg.Margin)
	case requestMessage:
		return []Out{{from, a.grant(now, r, from, received).encode()}}, nil
	}
	return nil, nil
}

func (a *Allocator) checkSender(from int) error {
	if !a.cfg.isPeer(from) {
		return &MessageError{Problem: fmt.Sprintf("a message from member %d", from)}
	}
	return nil
}

// receiveGrant takes a grant, provided that it answers the latest request to its lender.
func (a *Allocator) receiveGrant(r *resource, lender int, received message) {
	lease := r.borrowed[lender]
	if lease == nil || lease.request != received.request {
		return
	}
	lease.granted(min(received.units, a.cfg.OwnedUnits), a.cfg.TTL)
	a.counts.Borrowed++
}

// grant lends what is requested, as far as it is neither reserved, nor needed here, nor lent to others. Nothing is lent
// until the leases of an earlier incarnation have expired.
func (a *Allocator) grant(now int64, r *resource, borrower int, requested message) message {
	units := 0
	if now >= a.recoveredAt {
		spare := a.cfg.OwnedUnits - r.lentExcept(now, borrower) - max(a.cfg.Reserved, r.demand)
		units = max(0, min(requested.units, spare))
	}
	if units > 0 {
		a.counts.Granted++
		r.granted[borrower] = append(r.granted[borrower], grantedLease{
			units:     units,
			expiresAt: now + a.cfg.leaseAtLender(),
			request:   requested.request,
		})
	}
	return message{kind: grantMessage, request: requested.request, units: units, resource: requested.resource}
}
