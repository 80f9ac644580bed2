// Package handover decides how one process of a session controller takes the place of another while both run: who
// accepts connections, who may say that it is ready, how the limits are divided between the two, and who ends. It does
// no I/O and reads no clock: a Machine is stepped by events and returns the actions to carry out.
//
// Both sides run the same machine. The running process is the predecessor, the one that starts beside it the
// successor; the end of their connection is the other one's death.
//
//	successor                          predecessor
//	hello          ───────────────>    divides the limits
//	               <───────────────    welcome, with the listeners (or wait: it starts, or has a successor already)
//	prepares on its half
//	request        ───────────────>
//	               <───────────────    yield
//	accepts
//	taken          ───────────────>    stops to accept, empties as replaced
//	               <─ ─ ─ ─ ─ ─ ─ ─    the connection ends with the process: the limits are whole again
//
// A predecessor that is asked to stop yields unasked, and one whose successor ends takes the place back. From the
// welcome on both hold the listeners, so that the queue of connections outlives either process.
package handover
