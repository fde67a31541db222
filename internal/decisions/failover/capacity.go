package failover

import "time"

// slowStartUse is the share of its capacity that the dispatchers together use of a worker that is warming up: its slow-start
// budget is divided among all of them, and few of them send it requests.
const slowStartUse = 0.2

// Capacity returns the slots that all dispatchers together can use of a worker now. size is its slots, age is the time since it
// started, and startCapacity is the share of its size that it has at its start, which rises linearly to 1 over warmup.
func Capacity(size, startCapacity float64, age, warmup time.Duration) float64 {
	if warmup <= 0 || age >= warmup {
		return size
	}
	return size * slowStartUse * (startCapacity + (1-startCapacity)*max(age.Seconds(), 0)/warmup.Seconds())
}
