package placement

const (
	// ThresholdName is the name of the policy Threshold.
	ThresholdName = "threshold"

	// DefaultThreshold is the work with the new flow included, in requests per slot,
	// above which a candidate does not accept the flow.
	DefaultThreshold = 1.0
)

// Threshold places a flow at the first candidate whose work, with the flow, is at
// most a bound: a flow that a busy home does not accept gets a second chance at the next
// candidate. If no candidate is within the bound, the home opens the flow or, if it may
// not, the next candidate.
type Threshold[C Candidate] struct {
	bound float64
}

// NewThreshold returns the policy Threshold with a bound in requests per slot.
func NewThreshold[C Candidate](bound float64) Threshold[C] { return Threshold[C]{bound: bound} }

// Name returns ThresholdName.
func (Threshold[C]) Name() string { return ThresholdName }

// Sequential returns true.
func (Threshold[C]) Sequential() bool { return true }

// Accepts reports whether the work with the new flow is at most the bound.
func (t Threshold[C]) Accepts(own C) bool { return workAfter(own) <= t.bound }

// Pick returns 0, the index of the home or, if it may not open the flow, of the next
// candidate. It is called if no candidate is within the bound.
func (Threshold[C]) Pick([]C, Random) int { return 0 }
