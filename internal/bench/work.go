package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// makeJobs returns cfg.Jobs jobs with Poisson arrivals at cfg.Load and work of the
// given distribution. The random numbers depend on cfg.Seed and on the length of the
// distribution's name, so that the two distributions have different ones.
func makeJobs(cfg PlacementConfig, work string) []job {
	random := rand.New(rand.NewPCG(cfg.Seed, uint64(len(work))))
	capacity := 0.0
	for _, q := range makeQueues(cfg) {
		capacity += float64(cfg.Slots) * q.speed
	}
	meanInterval := meanWork.Seconds() / (cfg.Load * capacity)
	jobs := make([]job, cfg.Jobs)
	now := 0.0
	for i := range jobs {
		now += random.ExpFloat64() * meanInterval
		jobs[i] = job{
			arrival: time.Duration(now * float64(time.Second)),
			work:    time.Duration(drawWork(random, work) * float64(meanWork)),
			key:     random.Uint64(),
		}
	}
	return jobs
}

// drawWork returns a random amount of work from the given distribution, with a mean
// of 1.
func drawWork(random *rand.Rand, work string) float64 {
	if work == Exponential {
		return random.ExpFloat64()
	}
	return boundedPareto(random.Float64()) / boundedParetoMean()
}

// boundedPareto returns the value of a Pareto distribution on
// [1, paretoRange] at the quantile u.
func boundedPareto(u float64) float64 {
	tail := math.Pow(paretoRange, -paretoShape)
	return math.Pow(1-u*(1-tail), -1/paretoShape)
}

// boundedParetoMean returns the mean of the distribution of boundedPareto.
func boundedParetoMean() float64 {
	a := paretoShape
	return a / (a - 1) * (1 - math.Pow(paretoRange, 1-a)) / (1 - math.Pow(paretoRange, -a))
}
