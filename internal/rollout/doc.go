// Package rollout decides a staged change of a fleet of controllers: which controller makes the transition to the new
// version next, whether a canary stage is promoted, watched further or rolled back, and in which order a rollback
// goes. Old and new versions run side by side and are compared over the same stretch of time.
//
// The package does no I/O and reads no clock. The caller hands in what it observed with the time in Unix
// milliseconds, and carries out the Action that Plan.Next returns. State is all that a rollout remembers; its JSON
// form is what the state file holds, so that an interrupted rollout can be resumed.
package rollout
