// Package sippool is the SIP side of the balancer: it keeps one connection to each sync pool of the endpoint list,
// sets up, cancels and releases calls on it, and receives the pools' load reports. It implements [dispatch.Inviter].
//
// An attempt is an INVITE client transaction (inviteTransaction, RFC 3261 section 17.1.1) on a connection; an answered
// one is a confirmed dialog (dialog, section 12) of its pool, which outlives the connection that set it up. A pool
// resends the releases of calls whose connection was lost on the next connection that is opened, and on no later one.
//
// Locks are taken in the order Pools.mu, pool.mu, endedCalls.mu. Each pool has one goroutine, its run loop, which
// Pools.Wait waits for; a connection has two more, its writer and its watcher, which the run loop waits for.
package sippool
