// Package listener opens the addresses on which a controller is called, and lets two processes share one listener. An
// Acceptor stands between a listener and the server that accepts from it: accepting can be paused without closing the
// listener, which another process may go on using, and a failed Accept is tried again and not passed on.
package listener
