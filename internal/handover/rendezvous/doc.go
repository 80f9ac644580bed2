// Package rendezvous lets the processes of one controller find each other in a folder for temporary files, and carries
// the messages and listeners of package handover between them. Each process has a Unix socket there, and a file that
// names it:
//
//	<folder>/eidertrail-<uid>/<listen address>.<number>.json
//	<folder>/eidertrail-<uid>/<listen address>.<number>.sock
//
// The folder is this user's alone. A file that cannot be used is one line in the log and counts as not there, and what
// a dead process has left is removed.
package rendezvous
