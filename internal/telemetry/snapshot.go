package telemetry

// Snapshot is a reading of all counters by name, and of the set-up times: how many by the upper end of their bucket, in
// microseconds.
type Snapshot struct {
	Counters map[string]int64 `json:"counters"`
	Times    map[int64]int64  `json:"times"`
}

// Snapshot reads the counters and the set-up times.
func (s *Counters) Snapshot() Snapshot {
	snapshot := Snapshot{Counters: map[string]int64{}, Times: map[int64]int64{}}
	for c := range counterCount {
		snapshot.Counters[c.String()] = s.Get(c)
	}
	if s == nil {
		return snapshot
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.setupTimes == nil {
		return snapshot
	}
	for _, bucket := range s.setupTimes.Distribution() {
		if bucket.Count > 0 {
			snapshot.Times[bucket.To] = bucket.Count
		}
	}
	return snapshot
}
