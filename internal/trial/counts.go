package trial

import (
	"sort"
	"sync"

	"eidertrail/internal/telemetry"
)

// figureAge is how old a figure may be, µs.
const figureAge = 500_000

// counts are what others counted of one incarnation of a process: the times of what its figures count.
type counts struct {
	mu       sync.Mutex
	outcomes map[string]map[telemetry.Outcome][]int64
	sends    []int64
	excused  map[string]int64 // by class: requests whose outcome need not be counted
}

func newCounts() *counts {
	return &counts{outcomes: map[string]map[telemetry.Outcome][]int64{}, excused: map[string]int64{}}
}

// sent counts an attempt.
func (c *counts) sent(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sends = append(c.sends, now)
}

// ended counts a request.
func (c *counts) ended(now int64, class string, outcome telemetry.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes[class] == nil {
		c.outcomes[class] = map[telemetry.Outcome][]int64{}
	}
	c.outcomes[class][outcome] = append(c.outcomes[class][outcome], now)
}

// excuse counts a request whose client has left.
func (c *counts) excuse(class string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excused[class]++
}

// between returns the minimum and the maximum that a count of these times can be for one who reads it from one time to
// another: what came in figureAge before the reading need not be in it.
func between(times []int64, from, to int64) (minimum, maximum int64) {
	before := func(at int64) int64 {
		return int64(sort.Search(len(times), func(i int) bool { return times[i] > at }))
	}
	return before(from - figureAge), before(to)
}
