package route

// Reason says why a server was chosen.
type Reason uint8

const (
	// PrefixHit means that the server is thought to have cached a prefix of the
	// prompt.
	PrefixHit Reason = iota + 1
	// PrefixAffinity means that the server has the highest rendezvous score for
	// the prompt's prefix. Its name is "prefix_home".
	PrefixAffinity
	// BoundedLoad means that another server was preferred for its prefix cache,
	// but lost on load or cost.
	BoundedLoad
	// LeastLoaded means that the server was the least loaded candidate.
	LeastLoaded
	// RoundRobin means that the server was next in turn.
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
	// policyLeastCost is the default, named "kumquat" in the configuration.
	policyLeastCost policy = iota
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
		return policyLeastCost
	}
}
