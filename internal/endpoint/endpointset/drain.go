package endpointset

import "slices"

// Draining reports whether any endpoint drains. While one does, Advance has to be called often, as no call of the Set
// announces that the endpoint's last call ended.
func (s *Set) Draining() bool {
	return slices.ContainsFunc(s.lastMerged, func(e Endpoint) bool { return e.State == Draining })
}

// drainEnded reports whether the endpoint of a draining record has no calls left or has reached the drain's limit.
func (s *Set) drainEnded(now int64, rec *record, busy func(uid string) bool) bool {
	if now >= rec.drainingSince+s.config.DrainTimeout {
		return true
	}
	uid := s.uids[rec.Address]
	return uid == "" || busy == nil || !busy(uid)
}
