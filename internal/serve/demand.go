package serve

// Demand is what callers ask for, for the duty that orders servers.
type Demand struct{}

// Demand returns the record of what callers ask for.
func (s *Server) Demand() *Demand { return &Demand{} }
