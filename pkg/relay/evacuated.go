package relay

// SetEvacuated sets whether the upstream must not be used because its failure domain is evacuated,
// or because it isn't known yet whether it is. Waiting calls are then rejected as not run, and
// running calls complete.
//
// The other nodes know the evacuated domains, so the new state is reported like a load: if all nodes
// of a large domain sent it to the whole fleet at once, that would fill slow links.
func (s *Sidecar) SetEvacuated(evacuated bool) {
	s.mu.Lock()
	changed := s.evacuated != evacuated
	s.evacuated = evacuated
	s.applyState()
	s.mu.Unlock()
	if changed {
		s.loadChanged()
	}
}

// Evacuated reports whether SetEvacuated has taken the upstream out of use.
func (s *Sidecar) Evacuated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuated
}
