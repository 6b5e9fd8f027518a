package placement

const (
	// ThresholdName is the name of the policy Threshold.
	ThresholdName = "threshold"

	// DefaultThreshold is the work, in requests per slot, above which a candidate
	// does not accept a flow.
	DefaultThreshold = 1.0
)

// Threshold places a flow at the first candidate whose work, with the flow, is at
// most a bound. If there is none, the home takes the flow.
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

// Pick returns 0: no candidate is within the bound, and the home takes the flow.
func (Threshold[C]) Pick([]C, Random) int { return 0 }
