package quota

import "slices"

// borrowerState is what a borrower knows of its lease from one lender.
type borrowerState int

const (
	// leaseRequested: a request was sent, and there is no lease: no grant came yet, or the lease has expired.
	leaseRequested borrowerState = iota
	// leaseHeld: the units of a grant may be used until the lease expires, also while its renewal is requested.
	leaseHeld
)

func (s borrowerState) String() string {
	if s == leaseHeld {
		return "held"
	}
	return "requested"
}

// borrowedLease is the borrower's side of a lease. The length of the lease counts from its request, so it has expired
// here before it has at the lender, who counts from the grant.
type borrowedLease struct {
	state       borrowerState
	request     uint64 // the latest one; a grant for any other is ignored
	requestedAt int64
	units       int // 0 unless held
	expiresAt   int64
}

// requested records a request, which may be a renewal: the state stays as it is.
func (l *borrowedLease) requested(now int64, request uint64) { l.request, l.requestedAt = request, now }

// granted makes the lease held.
func (l *borrowedLease) granted(units int, ttl int64) {
	l.state, l.units, l.expiresAt = leaseHeld, units, l.requestedAt+ttl
}

// expire ends a lease whose time is over.
func (l *borrowedLease) expire(now int64) {
	if l.state == leaseHeld && now >= l.expiresAt {
		l.state, l.units = leaseRequested, 0
	}
}

// usable is how many units may be used now.
func (l *borrowedLease) usable(now int64) int {
	if l.state == leaseHeld && now < l.expiresAt {
		return l.units
	}
	return 0
}

// grantedLease is the lender's side of a lease.
type grantedLease struct {
	units     int
	expiresAt int64
	request   uint64
}

func (g grantedLease) expired(now int64) bool { return now >= g.expiresAt }

// returned records that the borrower stopped using the lease; the margin is left for decisions made before.
func (g *grantedLease) returned(now, margin int64) { g.expiresAt = min(g.expiresAt, now+margin) }

// withoutExpired removes the leases that have expired.
func withoutExpired(leases []grantedLease, now int64) []grantedLease {
	return slices.DeleteFunc(leases, func(granted grantedLease) bool { return granted.expired(now) })
}

// maxUnitsOf is the largest of a borrower's leases. It uses one of them at a time, but the lender does not know which
// grants have arrived.
func maxUnitsOf(leases []grantedLease) int {
	units := 0
	for _, granted := range leases {
		units = max(units, granted.units)
	}
	return units
}
