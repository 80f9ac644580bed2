package quota

import (
	"maps"
	"slices"
)

// noMember is the index of no member.
const noMember = -1

// resource is one member's accounts of a resource.
type resource struct {
	demand     int                    // units that this member could use
	borrowed   map[int]*borrowedLease // by lender
	granted    map[int][]grantedLease // by borrower: every grant that may be in force there
	lastUsedAt int64                  // when there was last a demand here, or a message of a borrower or lender
}

func newResource() *resource {
	return &resource{borrowed: map[int]*borrowedLease{}, granted: map[int][]grantedLease{}}
}

// lentExcept is how many units may be in force at the borrowers other than one.
func (r *resource) lentExcept(now int64, borrower int) int {
	sum := 0
	for to := range r.granted {
		if to != borrower {
			r.granted[to] = withoutExpired(r.granted[to], now)
			sum += maxUnitsOf(r.granted[to])
		}
	}
	return sum
}

// usableLeases is how many borrowed units may be used now.
func (r *resource) usableLeases(now int64) int {
	sum := 0
	for _, lease := range r.borrowed {
		sum += lease.usable(now)
	}
	return sum
}

// expireBorrowed ends the borrowed leases whose time is over.
func (r *resource) expireBorrowed(now int64) {
	for _, lease := range r.borrowed {
		lease.expire(now)
	}
}

// unitsFrom is what is borrowed from one lender.
func (r *resource) unitsFrom(lender int) int {
	if lease := r.borrowed[lender]; lease != nil {
		return lease.units
	}
	return 0
}

// requestDue reports whether a lender may be sent a request: the latest one is long enough ago.
func (r *resource) requestDue(now int64, lender int, interval int64) bool {
	lease := r.borrowed[lender]
	return lease == nil || now-lease.requestedAt >= interval
}

// recordRequest notes the latest request to a lender.
func (r *resource) recordRequest(now int64, lender int, request uint64) {
	lease := r.borrowed[lender]
	if lease == nil {
		lease = &borrowedLease{}
		r.borrowed[lender] = lease
	}
	lease.requested(now, request)
}

// returnAll ends all leases that are held: from now on none is used, and their lenders are notified. A grant that is
// still to come for one of their requests is ignored.
func (r *resource) returnAll(name string) []Out {
	var out []Out
	for _, lender := range slices.Sorted(maps.Keys(r.borrowed)) {
		lease := r.borrowed[lender]
		if lease.state != leaseHeld {
			continue
		}
		returned := message{kind: returnMessage, request: lease.request, resource: name}
		out = append(out, Out{lender, returned.encode()})
		delete(r.borrowed, lender)
	}
	return out
}

// returnedBy ends the leases of a borrower that were granted up to that request.
func (r *resource) returnedBy(now int64, borrower int, request uint64, margin int64) {
	leases := r.granted[borrower]
	for i := range leases {
		if leases[i].request <= request {
			leases[i].returned(now, margin)
		}
	}
}
