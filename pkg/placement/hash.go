package placement

// HashName is the name of the policy Hash.
const HashName = "hash"

// Hash places every flow at its home, regardless of load. This is plain consistent
// hashing, the baseline for the other policies.
type Hash[C Candidate] struct{}

// NewHash returns the policy Hash.
func NewHash[C Candidate]() Hash[C] { return Hash[C]{} }

// Name returns HashName.
func (Hash[C]) Name() string { return HashName }

// Sequential returns true.
func (Hash[C]) Sequential() bool { return true }

// Accepts returns true: the home, which is tried first, accepts every flow.
func (Hash[C]) Accepts(C) bool { return true }

// Pick returns 0, the index of the home.
func (Hash[C]) Pick([]C, Random) int { return 0 }
