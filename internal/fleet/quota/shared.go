package quota

import "sync"

// Shared is a Ledger for two goroutines: the one that hears the members, and the one that sends set-ups.
type Shared struct {
	mu sync.Mutex
	l  *Ledger
}

// NewShared returns the books of a member that starts now.
func NewShared(cfg Config, now int64) (*Shared, error) {
	l, err := New(cfg, now)
	if err != nil {
		return nil, err
	}
	return &Shared{l: l}, nil
}

// Members is Ledger.Members.
func (s *Shared) Members(alive []bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.l.Members(alive)
}

// Quota is Ledger.Share, and the units of the whole.
func (s *Shared) Quota(now int64, name string) (units, whole int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Quota(now, name), s.l.Whole()
}

// Demand is Ledger.Demand.
func (s *Shared) Demand(now int64, name string, units int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.l.Demand(now, name, units)
}

// Tick is Ledger.Tick.
func (s *Shared) Tick(now int64) []Out {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Tick(now)
}

// Receive is Ledger.Receive.
func (s *Shared) Receive(now int64, from int, body []byte) ([]Out, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Receive(now, from, body)
}

// Counts is Ledger.Counts.
func (s *Shared) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.l.Counts()
}
