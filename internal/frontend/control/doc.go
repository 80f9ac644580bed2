// Package control is the address for operators: HTTP/1.1 with one call a connection. It says whether the controller is
// ready, gives its figures, and has it emptied and put back to work.
//
//	GET  /_ready           whether the controller is ready to serve
//	GET  /_vars            its figures, a line each as statsd writes them
//	POST /_lameduck/on     empty the controller
//	POST /_lameduck/off    put it back to work
//
// 2xx means yes; 4xx or 5xx means no, with the reason. An answer waits for nothing but the reading of the call, so that
// it comes in time under any load: the server has connections of its own, of which those without a complete call give
// way to new ones, and no call waits for the dispatcher's loop.
package control
