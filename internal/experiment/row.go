package experiment

import (
	"fmt"
	"time"

	"brassdale/internal/emulator"
)

// Row is the result of one run: a variant with a seed.
type Row struct {
	Variant      string   `json:"variant"`
	Seed         uint64   `json:"seed"`
	Build        string   `json:"build"`
	Jobs         int      `json:"jobs"`
	Service      float64  `json:"service"` // share of the work answered in time
	WorstAccount float64  `json:"worst_account"`
	Late         float64  `json:"late"`    // share of the jobs
	Rejected     float64  `json:"refused"` // share of the jobs
	Failed       float64  `json:"failed"`  // share of the jobs
	P50MS        float64  `json:"p50_ms"`
	P99MS        float64  `json:"p99_ms"`
	Sends        float64  `json:"sends"`  // attempts per job
	Probes       float64  `json:"probes"` // probes per job
	Wasted       float64  `json:"wasted"` // share of the work done whose result was not used
	Speed        float64  `json:"speed"`  // mean of work / response time over served jobs
	Used         float64  `json:"used"`   // work done, divided by the workers' capacity while jobs arrived
	WorstClass   float64  `json:"worst_class,omitempty"`
	Crossings    float64  `json:"crossings,omitempty"` // attempts between zones, per job
	Merit        float64  `json:"merit,omitempty"`     // see emulator.Result.Merit
	Breaches     []string `json:"breaches,omitempty"`
}

// measures are the columns that are compared.
var measures = []struct {
	name string
	of   func(Row) float64
}{
	{"service", func(r Row) float64 { return r.Service }},
	{"worst_account", func(r Row) float64 { return r.WorstAccount }},
	{"late", func(r Row) float64 { return r.Late }},
	{"refused", func(r Row) float64 { return r.Rejected }},
	{"failed", func(r Row) float64 { return r.Failed }},
	{"p50_ms", func(r Row) float64 { return r.P50MS }},
	{"p99_ms", func(r Row) float64 { return r.P99MS }},
	{"sends", func(r Row) float64 { return r.Sends }},
	{"probes", func(r Row) float64 { return r.Probes }},
	{"wasted", func(r Row) float64 { return r.Wasted }},
	{"speed", func(r Row) float64 { return r.Speed }},
	{"used", func(r Row) float64 { return r.Used }},
	{"worst_class", func(r Row) float64 { return r.WorstClass }},
	{"crossings", func(r Row) float64 { return r.Crossings }},
	{"merit", func(r Row) float64 { return r.Merit }},
}

// newRow returns the row of a result. crossPrice is the price of an attempt between zones.
func newRow(variant string, seed uint64, build string, result *emulator.Result, crossPrice float64) Row {
	share := func(jobs int) float64 { return float64(jobs) / float64(max(result.Jobs, 1)) }
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	row := Row{
		Variant:      variant,
		Seed:         seed,
		Build:        build,
		Jobs:         result.Jobs,
		Service:      result.Service,
		WorstAccount: result.WorstAccount,
		Late:         share(result.Late),
		Rejected:     share(result.Rejected),
		Failed:       share(result.Failed),
		P50MS:        milliseconds(result.P50),
		P99MS:        milliseconds(result.P99),
		Sends:        result.Sends,
		Probes:       result.Probes,
		Wasted:       result.Wasted,
		Speed:        result.Speed,
		Used:         result.Used,
		WorstClass:   result.WorstClass,
		Crossings:    result.Crossings,
		Merit:        result.Merit(crossPrice),
	}
	for _, breach := range result.Breaches {
		row.Breaches = append(row.Breaches, breach.String())
	}
	return row
}

// Breaches returns the violations of rules, each with its run. Breaches by plain policies, which do not know the rules, are separate from
// breaches by the scheduler. If file is nil, all count as the scheduler's.
func Breaches(rows []Row, file *File) (ofScheduler, ofPlain []string) {
	policies := map[string]string{}
	if file != nil {
		for _, variant := range file.Variants {
			policies[variant.Name] = variant.Policy
		}
	}
	for _, row := range rows {
		for _, breach := range row.Breaches {
			if policy := policies[row.Variant]; policy == "" || policy == schedulerPolicy {
				ofScheduler = append(ofScheduler, fmt.Sprintf("variant %q (the module), seed %d: %s", row.Variant, row.Seed, breach))
			} else {
				ofPlain = append(ofPlain, fmt.Sprintf("variant %q (policy %s), seed %d: %s", row.Variant, policy, row.Seed, breach))
			}
		}
	}
	return ofScheduler, ofPlain
}

// rowsByVariant returns the rows by variant, and the variants' names in the order of the rows.
func rowsByVariant(rows []Row) (names []string, byVariant map[string][]Row) {
	byVariant = map[string][]Row{}
	for _, row := range rows {
		if byVariant[row.Variant] == nil {
			names = append(names, row.Variant)
		}
		byVariant[row.Variant] = append(byVariant[row.Variant], row)
	}
	return names, byVariant
}
