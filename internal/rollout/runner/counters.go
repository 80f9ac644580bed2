package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"eidertrail/internal/rollout"
)

// Paths of a controller's health address.
const (
	countersPath = "/counters"
	readyPath    = "/ready"
)

// Names of a controller's counters.
const (
	counterAnswered       = "answered"
	counterAnsweredInTime = "answered_in_time"
	counterRejected       = "refused"
	counterFailed         = "failed"
	counterReloads        = "reloads"
	counterBadReloads     = "bad_reloads"
)

const (
	// requestTimeout bounds one request to a controller.
	requestTimeout = 2 * time.Second
	// maxReplyBytes bounds what is read of a reply.
	maxReplyBytes = 1 << 20
)

// countersReply is the reply to GET /counters.
type countersReply struct {
	Incarnation int64            `json:"life"` // differs for each process
	Counters    map[string]int64 `json:"counters"`
	SetupTimes  map[int64]int64  `json:"times"`
}

// incarnation identifies the controller's process.
func (r countersReply) incarnation() string { return strconv.FormatInt(r.Incarnation, 10) }

// counts are the counters that versions are compared by.
func (r countersReply) counts() rollout.Counts {
	return rollout.Counts{
		InTime:     r.Counters[counterAnsweredInTime],
		Late:       r.Counters[counterAnswered] - r.Counters[counterAnsweredInTime],
		Rejected:   r.Counters[counterRejected],
		Failed:     r.Counters[counterFailed],
		SetupTimes: r.SetupTimes,
	}
}

// readCounters polls a controller's counters.
func readCounters(ctx context.Context, controller Controller) (countersReply, error) {
	var reply countersReply
	text, err := get(ctx, controller, countersPath)
	if err == nil {
		err = json.Unmarshal(text, &reply)
	}
	return reply, err
}

// get requests a path of the controller's health address. Any status but 200 is an error.
func get(ctx context.Context, controller Controller, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+controller.Health+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Close = true // controllers come and go: a kept connection would be of no use
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return text, err
}
