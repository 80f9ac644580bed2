package middleware

import (
	"net/http"

	"eidertrail/dispatch"
)

// responseRecorder notes the final status and when it was written: from then on the call is established.
type responseRecorder struct {
	http.ResponseWriter
	dispatcher *dispatch.Dispatcher
	status     int   // 0: none was written
	writtenAt  int64 // clock reading in µs
}

// WriteHeader implements http.ResponseWriter. Informational statuses are not final.
func (w *responseRecorder) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status, w.writtenAt = status, w.dispatcher.Now()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseRecorder) Write(b []byte) (int, error) {
	if w.status == 0 {
		w.status, w.writtenAt = http.StatusOK, w.dispatcher.Now()
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap lets http.ResponseController reach the writer within.
func (w *responseRecorder) Unwrap() http.ResponseWriter { return w.ResponseWriter }
