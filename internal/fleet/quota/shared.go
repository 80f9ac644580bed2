package quota

import "sync"

// SharedAllocator is a Ledger for two goroutines: the one that hears the members, and the one that sends set-ups.
type SharedAllocator struct {
	mu sync.Mutex
	l  *Allocator
}

// NewSharedAllocator returns the books of a member that starts now.
func NewSharedAllocator(cfg Config, now int64) (*SharedAllocator, error) {
	l, err := New(cfg, now)
	if err != nil {
		return nil, err
	}
	return &SharedAllocator{l: l}, nil
}

// SetAlive is Ledger.Members.
func (s *SharedAllocator) SetAlive(alive []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.l.SetAlive(alive)
}

// Quota is Ledger.Share, and the units of the whole.
func (s *SharedAllocator) Quota(now int64, name string) (units, whole int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Quota(now, name), s.l.Total()
}

// Demand is Ledger.Demand.
func (s *SharedAllocator) Demand(now int64, name string, units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.l.Demand(now, name, units)
}

// Tick is Ledger.Tick.
func (s *SharedAllocator) Tick(now int64) []Out {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Tick(now)
}

// Receive is Ledger.Receive.
func (s *SharedAllocator) Receive(now int64, from int, body []byte) ([]Out, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Receive(now, from, body)
}

// Counts is Ledger.Counts.
func (s *SharedAllocator) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Counts()
}
