package failover

// Zone is a place with workers, with clients, or with both.
type Zone struct {
	Name, Region string
	Capacity     float64 // slots; workers that are warming up count with what they can take now
}

// Demand is what clients of a zone ask for, of one class.
type Demand struct {
	Zone, Class string
	Work        float64 // slots that it keeps busy: slot-seconds a second
	Weight      float64 // priority weight of a slot-second
}

// Reachability reports whether requests of a class may go from one zone to another, and how far that is.
type Reachability func(from, to, class string) (distance float64, ok bool)
