package routing

import "brassdale/internal/decisions/pacing"

// callFailures is a row of failed calls for the list.
type callFailures struct {
	calls, refused, expired int
	last                    string // what the last one failed with
	overdue                 bool   // it has been logged that the list is overdue
}

// note adds a failed call.
func (f *callFailures) note(err error, how pacing.Failure) {
	f.calls++
	f.last = err.Error()
	switch how {
	case pacing.Refused:
		f.refused++
	case pacing.Expired:
		f.expired++
	}
}
