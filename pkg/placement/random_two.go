package placement

// RandomTwoName is the name of the policy RandomTwo.
const RandomTwoName = "random-two"

// RandomTwo chooses the one with less work of two random candidates. As the loads
// come from reports, this is the power of two choices on stale load data.
type RandomTwo[C Candidate] struct{}

// NewRandomTwo returns the policy RandomTwo.
func NewRandomTwo[C Candidate]() RandomTwo[C] { return RandomTwo[C]{} }

// Name returns RandomTwoName.
func (RandomTwo[C]) Name() string { return RandomTwoName }

// Sequential returns false: the choice is made from load reports.
func (RandomTwo[C]) Sequential() bool { return false }

// Accepts returns false: no candidate accepts a flow without comparison.
func (RandomTwo[C]) Accepts(C) bool { return false }

// Pick returns the index of the candidate with less work of two distinct random
// ones.
func (RandomTwo[C]) Pick(candidates []C, random Random) int {
	if len(candidates) == 1 {
		return 0
	}
	a := random.IntN(len(candidates))
	b := random.IntN(len(candidates) - 1)
	if b >= a {
		b++
	}
	if workAfter(candidates[b]) < workAfter(candidates[a]) {
		return b
	}
	return a
}
