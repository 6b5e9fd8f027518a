package placement

// LeastWorkName is the name of the policy LeastWork.
const LeastWorkName = "least-work"

// LeastWork places a flow at the first candidate that would serve it without queueing
// or, if there is none, at the candidate with the least work per unit of capacity, with
// the new flow included. It follows LL(d) of Hellemans and Van Houdt, "On the
// Power-of-d-choices with Least Loaded Server Selection" (2018), with the
// number of requests per slot as a substitute for the remaining work, which is
// unknown.
type LeastWork[C Candidate] struct{}

// NewLeastWork returns the policy LeastWork.
func NewLeastWork[C Candidate]() LeastWork[C] { return LeastWork[C]{} }

// Name returns LeastWorkName.
func (LeastWork[C]) Name() string { return LeastWorkName }

// Sequential returns true.
func (LeastWork[C]) Sequential() bool { return true }

// Accepts reports whether the candidate would serve the flow without queueing: its
// work with the flow is at most 1 request per slot.
func (LeastWork[C]) Accepts(own C) bool { return workAfter(own) <= 1 }

// Pick returns the index of the candidate with the least work; on a tie the first,
// so that an idle home keeps its flows.
func (LeastWork[C]) Pick(candidates []C, _ Random) int {
	best := 0
	for i := range candidates {
		if workAfter(candidates[i]) < workAfter(candidates[best]) {
			best = i
		}
	}
	return best
}
