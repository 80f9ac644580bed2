// Package runner carries a rollout out on this machine, as package rollout decides it. It stops and starts the
// controllers' processes through their planned restart, changes their configurations, and polls their counters.
//
// The rollout's state is in a file that is replaced before and after each step, under a lock. A transition can be
// begun again at any point, so a rollout that was interrupted, however abruptly, is resumed by running it again.
package runner
