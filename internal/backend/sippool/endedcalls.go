package sippool

import (
	"sync"

	"eidertrail/internal/recentset"
)

// maxEndedCalls bounds the ended calls that are remembered.
const maxEndedCalls = 1024

// endedCalls remembers the Call-IDs of the calls that have ended recently, so that a late message of one of them is not
// taken for that of a call that this process does not know. It has a lock of its own, which is taken last: calls also
// end while Pools.mu is held, when Apply learns that a pool's process has started anew.
type endedCalls struct {
	mu  sync.Mutex
	ids *recentset.Set
}

func newEndedCalls() *endedCalls { return &endedCalls{ids: recentset.New(maxEndedCalls)} }

func (e *endedCalls) add(callID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ids.Add(callID)
}

func (e *endedCalls) contains(callID string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ids.Contains(callID)
}
