package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"eidertrail"
)

// appendAction appends the order for an action. A rejection carries its Retry-After, at most the maximum, unless that
// is 0.
func appendAction(text []byte, action eidertrail.Action, maxRetryAfter time.Duration) ([]byte, error) {
	var values []any
	switch typed := action.(type) {
	case eidertrail.Send:
		values = []any{"HandOff", typed.Call, typed.Server, int64(typed.Timeout)}
	case eidertrail.Reject:
		values = []any{"Reject", typed.Call}
		if maxRetryAfter > 0 {
			values = append(values, int64(min(typed.RetryAfter, maxRetryAfter)))
		}
	case eidertrail.Fail:
		values = []any{"Abort", typed.Call}
	case eidertrail.WakeAt:
		values = []any{"WakeAt", typed.Token, int64(typed.In)}
	case eidertrail.Watch:
		values = []any{"Listen", true}
	default:
		return nil, fmt.Errorf("no order on this wire for %T", typed)
	}
	order, err := json.Marshal(values)
	return append(text, order...), err
}
