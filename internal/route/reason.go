package route

// Reason says why a server was chosen.
type Reason uint8

const (
	// PrefixHit means that the server is believed to hold a prefix of the prompt.
	PrefixHit Reason = iota + 1
	// PrefixAffinity means that the prompt's hash points to the server.
	PrefixAffinity
	// BoundedLoad means that a server preferred for its cache was too loaded.
	BoundedLoad
	// LeastLoaded means that the server was the least loaded of those compared.
	LeastLoaded
	// RoundRobin means that it was the server's turn.
	RoundRobin
)

var reasonNames = [...]string{"none", "prefix_hit", "prefix_home", "bounded_load", "least_loaded", "round_robin"}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

type policy uint8

const (
	policyKumquat policy = iota
	policyRoundRobin
	policyLeastOutstanding
	policyPrefixHash
)

func policyOf(name string) policy {
	switch name {
	case "round_robin":
		return policyRoundRobin
	case "least_outstanding":
		return policyLeastOutstanding
	case "prefix_hash":
		return policyPrefixHash
	default:
		return policyKumquat
	}
}
