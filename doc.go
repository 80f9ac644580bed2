// Package eidertrail is the decision module of a call controller: for one access node it decides at which
// server each call is set up, whether a failed attempt is retried, and which calls are rejected.
//
// The mechanism is Angelin and Arvidsson's. The sender keeps a delay memory for every server, predicts from it
// the completion time of the next set-up there, and denies a server to calls while that prediction exceeds a
// multiple of the shortest completion time seen. Where the code departs from the paper, the comment says why.
//
// The package does no I/O and reads no clock: a host feeds Handle with batches of events and carries out the
// actions that it returns. Settings, events and actions are the interface; everything else is the policy, in
// the files that deploy/balancer.toml lists.
package eidertrail
