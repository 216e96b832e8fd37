package decide

// CountEnginesAsEqual makes the scheduler ignore measured speeds, as before they were
// measured. It must be called before the upstreams of the pool are listed.
func (s *Scheduler) CountEnginesAsEqual(pool string) { s.pool(pool).speeds = nil }

// Factor returns how long work takes on the named upstream, relative to its service.
func (s *Scheduler) Factor(name string) float64 { return s.upstreams[name].speed.factor() }

// Uneven reports whether the upstreams of the pool differ in speed.
func (s *Scheduler) Uneven(pool string) bool { return s.pool(pool).speeds.uneven }
