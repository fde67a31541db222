package load

import (
	"errors"
	"math"
	"time"
)

// Shape is how a phase's rate of arrivals changes over time.
type Shape uint8

// The shapes. All but Constant are Poisson processes.
const (
	Constant Shape = iota // evenly spaced arrivals
	Poisson               // a constant rate
	Ramp                  // a rate that changes evenly from one value to another
	Burst                 // a rate, and another rate for part of every period
	Day                   // a scaled-down working day: a peak in the morning, a dip at noon, a lower peak in the afternoon
)

var shapesByName = map[string]Shape{"constant": Constant, "poisson": Poisson, "ramp": Ramp, "burst": Burst, "day": Day}

// Phase is a part of a plan with a shape.
type Phase struct {
	Shape         Shape
	For           time.Duration
	Rate          float64       // jobs a second: the first rate of a Ramp, the highest rate of a Day
	To            float64       // jobs a second: the last rate of a Ramp, the rate within bursts of a Burst
	BurstPeriod   time.Duration // from the start of a burst to the start of the next
	BurstDuration time.Duration
}

// rate returns the rate at a time within the phase, in jobs a second.
func (p *Phase) rate(at time.Duration) float64 {
	switch p.Shape {
	case Ramp:
		return p.Rate + (p.To-p.Rate)*float64(at)/float64(p.For)
	case Burst:
		if at%p.BurstPeriod < p.BurstDuration {
			return p.To
		}
	case Day:
		return p.Rate * dayCurve(float64(at)/float64(p.For))
	}
	return p.Rate
}

// dayCurve returns the rate of a Day at a share of its time, as a share of its highest rate.
func dayCurve(share float64) float64 {
	const (
		morning, afternoon = 0.3, 0.7 // times of the peaks
		afternoonHeight    = 0.85
		width              = 0.13
		night              = 0.05 // lowest rate
	)
	peak := func(middle, height float64) float64 {
		return height * math.Exp(-math.Pow((share-middle)/width, 2)) //nolint:staticcheck // QF1005: the product may differ in the last bit
	}
	return max(peak(morning, 1), peak(afternoon, afternoonHeight), night)
}

// maxRate returns the phase's highest rate.
func (p *Phase) maxRate() float64 { return max(p.Rate, p.To) }

// check returns an error if the phase is invalid.
func (p *Phase) check() error {
	switch {
	case p.For <= 0:
		return errors.New("for must be above 0")
	case p.Rate < 0 || p.To < 0 || p.maxRate() <= 0 || math.IsInf(p.maxRate(), 0) || math.IsNaN(p.Rate+p.To):
		return errors.New("the attributes rate and to must be finite and not below 0, and one of them must be above 0")
	case p.Shape == Burst && (p.BurstPeriod <= 0 || p.BurstDuration <= 0 || p.BurstDuration > p.BurstPeriod):
		return errors.New("in a burst, every must be above 0, and last must be above 0 and at most every")
	case p.Shape != Ramp && p.Shape != Burst && p.To != 0:
		return errors.New("only ramps and bursts may have the attribute to")
	}
	return nil
}
