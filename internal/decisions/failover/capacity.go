package failover

import "time"

// slowStartUtilization is the share of a warming-up worker's capacity that all dispatchers together use. The worker's slow-start
// budget is divided among all dispatchers, but few of them send it requests.
const slowStartUtilization = 0.2

// Capacity returns how many slots of a worker all dispatchers together can use now. size is the worker's number of slots, age is
// the time since it started, and startCapacity is the share of size that is available at the start. The share rises linearly to 1
// over warmup.
func Capacity(size, startCapacity float64, age, warmup time.Duration) float64 {
	if warmup <= 0 || age >= warmup {
		return size
	}
	return size * slowStartUtilization * (startCapacity + (1-startCapacity)*max(age.Seconds(), 0)/warmup.Seconds())
}
