package failover

// Zone is a zone that has workers, clients or both.
type Zone struct {
	Name, Region string
	Capacity     float64 // slots; a warming-up worker counts with its current capacity (func Capacity)
}

// Demand is the work of one class that the clients of a zone request.
type Demand struct {
	Zone, Class string
	Work        float64 // slots that the requests keep busy: slot-seconds per second
	Weight      float64 // priority weight of a slot-second
}

// Reachability reports whether requests of a class may go from one zone to another, and the distance between the zones.
type Reachability func(from, to, class string) (distance float64, ok bool)
