package budgetleases

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

const leaseDuration = 2 * time.Second

// budgetModel is a lessor and its lessees, whose clocks run at different rates. Responses may be delayed, lost or duplicated.
type budgetModel struct {
	settings   Settings
	lessor     *Lessor
	now        Instant // by the lessor's clock
	lessees    []*Lessee
	clocks     []Instant // of the lessees
	clockRates []float64 // of clocks, in seconds per second of the lessor's clock
	responses  []grantResponse
}

// grantResponse is a response that is in flight to a lessee.
type grantResponse struct {
	to          int
	rate        float64
	requestedAt Instant
}

// drawBudgetModel draws the parameters of a model: one to six lessees, the unleased share, and the rates of clocks.
func drawBudgetModel(t *rapid.T) *budgetModel {
	t.Helper()
	dispatchers := rapid.IntRange(1, 6).Draw(t, "dispatchers")
	settings := Settings{
		RatePerSecond: 100, UnleasedShare: rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "unleased share"),
		MaxLessees: dispatchers, LeaseDuration: leaseDuration,
	}
	model := &budgetModel{settings: settings, lessor: NewLessor(settings, -time.Minute), clocks: make([]Instant, dispatchers)}
	for range dispatchers {
		model.lessees = append(model.lessees, NewLessee(settings.UnleasedRate(), 0))
		model.clockRates = append(model.clockRates, rapid.Float64Range(1-MaxClockDrift/2, 1+MaxClockDrift/2).Draw(t, "clock rate"))
	}
	return model
}

// advance advances all clocks, including the clocks of paused lessees.
func (m *budgetModel) advance(elapsed time.Duration) {
	m.now += elapsed
	for i := range m.clocks {
		m.clocks[i] += time.Duration(float64(elapsed) * m.clockRates[i])
	}
}

// request requests a lease for a lessee. The response is delivered later, or never.
func (m *budgetModel) request(lessee int, demand, floor float64) {
	rate := m.lessor.Grant(fmt.Sprint(lessee), demand, floor, m.now)
	m.responses = append(m.responses, grantResponse{lessee, rate, m.clocks[lessee]})
}

// deliver delivers a response, which may be delivered again.
func (m *budgetModel) deliver(response grantResponse) {
	m.lessees[response.to].ApplyLease(response.rate, response.requestedAt, leaseDuration, m.clocks[response.to])
}

// usableRate returns the uses per second that all lessees may make now, regardless of whether the lessor knows them.
func (m *budgetModel) usableRate() (rate float64) {
	for i, lessee := range m.lessees {
		rate += lessee.Rate(m.clocks[i])
	}
	return rate
}

// TestLessor_neverExceedsBudget checks that the rates with and without leases stay within the budget, under random requests, lost,
// delayed and duplicated responses, and pauses and restarts of processes, including the lessor's.
func TestLessor_neverExceedsBudget(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		model := drawBudgetModel(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			lessee := rapid.IntRange(0, len(model.lessees)-1).Draw(t, "lessee")
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1:
				model.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			case 2, 3:
				model.request(lessee, rapid.Float64Range(0, 300).Draw(t, "demand"), rapid.SampledFrom([]float64{0, 30}).Draw(t, "floor"))
			case 4:
				if len(model.responses) > 0 {
					model.deliver(model.responses[rapid.IntRange(0, len(model.responses)-1).Draw(t, "response")])
				}
			case 5: // a lessee restarts without its state
				model.lessees[lessee] = NewLessee(model.settings.UnleasedRate(), model.clocks[lessee])
			case 6: // another leader
				model.lessor = NewLessor(model.settings, model.now)
			}
			if usable := model.usableRate(); usable > model.settings.RatePerSecond+1e-6 {
				t.Fatalf("%v uses per second are permitted, want at most %v", usable, model.settings.RatePerSecond)
			}
			if outstanding := model.lessor.Outstanding(model.now); outstanding > model.settings.RatePerSecond+1e-6 {
				t.Fatalf("outstanding rate %v, want at most %v", outstanding, model.settings.RatePerSecond)
			}
		}
	})
}

// grantRepeatedly grants leases to lessees with constant demands and floors for ten lease durations, and returns the last rates.
func grantRepeatedly(settings Settings, demands, floors []float64) (rates []float64) {
	lessor := NewLessor(settings, -time.Minute)
	rates = make([]float64, len(demands))
	for now := Instant(0); now < 10*leaseDuration; now += leaseDuration / 4 {
		for i := range demands {
			rates[i] = lessor.Grant(fmt.Sprint(i), demands[i], floors[i], now)
		}
	}
	return rates
}

// TestLessor_sharesFairly checks that small demands are met and the rest is divided evenly, after the floors. If the demand of one
// lessee rises tenfold, the rate that the others do not need must meet it within two lease durations.
func TestLessor_sharesFairly(t *testing.T) {
	settings := Settings{RatePerSecond: 100, UnleasedShare: 0.1, MaxLessees: 4, LeaseDuration: leaseDuration}
	for _, test := range []struct{ demands, floors, want []float64 }{
		{[]float64{10, 10, 10, 10}, []float64{0, 0, 0, 0}, []float64{12.5, 12.5, 12.5, 12.5}},
		{[]float64{100, 100, 100, 100}, []float64{0, 0, 0, 0}, []float64{25, 25, 25, 25}},
		{[]float64{4, 100, 100, 0}, []float64{0, 0, 0, 0}, []float64{5, 46.25, 46.25, 2.5}},
		{[]float64{100, 100, 100, 100}, []float64{40, 0, 0, 0}, []float64{53.1, 15.6, 15.6, 15.6}},
	} {
		got := grantRepeatedly(settings, test.demands, test.floors)
		for i := range got {
			if math.Abs(got[i]-test.want[i]) > 1.5 {
				t.Errorf("demands %v, floors %v: rates %v, want %v", test.demands, test.floors, got, test.want)
				break
			}
		}
	}
	const risesAt = 10 * time.Second
	lessor := NewLessor(settings, -time.Minute)
	rate, metAfter := 0.0, time.Duration(0)
	for now := Instant(0); now < 20*time.Second; now += leaseDuration / 4 {
		demands := []float64{7, 7, 7, 7}
		if now >= risesAt {
			demands[0] = 70
		}
		for i := range demands {
			if granted := lessor.Grant(fmt.Sprint(i), demands[i], 0, now); i == 0 {
				rate = granted
			}
		}
		if now >= risesAt && metAfter == 0 && rate >= 70 {
			metAfter = now - risesAt
		}
	}
	if metAfter == 0 || metAfter > 2*leaseDuration {
		t.Errorf("tenfold demand is met after %v (0 for never), want within two lease durations", metAfter)
	}
}
