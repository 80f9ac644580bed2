package main

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxPollWait bounds how long a poll without news is held open.
const maxPollWait = 5 * time.Second

// serveList answers a poll of the endpoint list, which has one event that the example's configuration already knows. A
// poll after it is held open for as long as its client asks for.
func serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if after, _ := strconv.Atoi(query.Get("after")); after >= 1 {
		milliseconds, _ := strconv.Atoi(query.Get("patience"))
		pollWait := time.Duration(min(milliseconds, int(maxPollWait.Milliseconds()))) * time.Millisecond
		select {
		case <-time.After(pollWait):
		case <-r.Context().Done():
			return
		}
	}
	_, _ = io.WriteString(w, `{"no":1,"items":[]}`) // a client that has gone polls again
}
