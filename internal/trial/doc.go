// Package trial plays dense trials against real processes of the daemon: a plan drawn from a seed, with a fault proxy
// between the processes and their pools, an endpoint list for each process, callers, bad clients, operators and a
// supervisor. What passes is held against the duties of invariant.Checker.
//
// The schedule of faults is exact for a seed. The order of events between processes is the machine's: a trial that
// fails need not fail again.
package trial
