package quota

import "sync"

// SharedAllocator is an Allocator for concurrent use: one goroutine passes it the members' messages, another uses the
// quotas.
type SharedAllocator struct {
	mu        sync.Mutex
	allocator *Allocator
}

// NewSharedAllocator returns the allocator of a member that starts now.
func NewSharedAllocator(cfg Config, now int64) (*SharedAllocator, error) {
	allocator, err := New(cfg, now)
	if err != nil {
		return nil, err
	}
	return &SharedAllocator{allocator: allocator}, nil
}

// SetAlive is Allocator.SetAlive.
func (s *SharedAllocator) SetAlive(alive []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.SetAlive(alive)
}

// Quota is Allocator.Quota, with the resource's total.
func (s *SharedAllocator) Quota(now int64, name string) (units, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.Quota(now, name), s.allocator.Total()
}

// Demand is Allocator.Demand.
func (s *SharedAllocator) Demand(now int64, name string, units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.Demand(now, name, units)
}

// Tick is Allocator.Tick.
func (s *SharedAllocator) Tick(now int64) []Out {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.Tick(now)
}

// Receive is Allocator.Receive.
func (s *SharedAllocator) Receive(now int64, from int, body []byte) ([]Out, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.Receive(now, from, body)
}

// Counts is Allocator.Counts.
func (s *SharedAllocator) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.Counts()
}
