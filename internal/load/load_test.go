package load

import (
	"context"
	"errors"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"brassdale/internal/testsupport/property"
)

// allJobs returns all jobs of a source.
func allJobs(source Source) (jobs []Job) {
	for job, ok := source.Next(); ok; job, ok = source.Next() {
		jobs = append(jobs, job)
	}
	return jobs
}

// TestGenerated_determinedBySeed checks that a seed gives the same jobs each time, and a different seed gives different jobs; that times
// are in order and inside their phases, and do not depend on the accounts.
func TestGenerated_determinedBySeed(t *testing.T) {
	property.Check(t, func(t *rapid.T) {
		phase := Phase{Shape: Shape(rapid.IntRange(0, int(Day)).Draw(t, "shape")), For: time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond,
			Rate: rapid.Float64Range(1, 2000).Draw(t, "rate"), BurstPeriod: 200 * time.Millisecond, BurstDuration: 50 * time.Millisecond}
		if phase.Shape == Ramp || phase.Shape == Burst {
			phase.To = rapid.Float64Range(0, 2000).Draw(t, "to")
		}
		if err := phase.check(); err != nil {
			t.Fatal(err)
		}
		seed := rapid.Uint64().Draw(t, "seed")
		mix := Mix{Accounts: []Account{{"a", 0.7, 0}, {"b", 0.3, 0}}, Subjects: 50, Zipf: 1.2}
		first := allJobs(Generated([]Phase{phase, phase}, mix, seed))
		if again := allJobs(Generated([]Phase{phase, phase}, mix, seed)); !reflect.DeepEqual(first, again) {
			t.Fatal("the same seed gave other jobs")
		}
		mix.Accounts = []Account{{"c", 1, 0}}
		other := allJobs(Generated([]Phase{phase, phase}, mix, seed))
		for i, job := range first {
			if job.At < 0 || job.At >= 2*phase.For || i > 0 && job.At < first[i-1].At {
				t.Fatalf("job %d at %v", i, job.At)
			}
			if other[i].At != job.At || other[i].Subject != job.Subject {
				t.Fatalf("another account changed job %d: %+v, was %+v", i, other[i], job)
			}
		}
	})
	phases := []Phase{{Shape: Poisson, For: time.Second, Rate: 100}}
	if reflect.DeepEqual(allJobs(Generated(phases, Mix{}, 1)), allJobs(Generated(phases, Mix{}, 2))) {
		t.Error("another seed gave the same jobs")
	}
}

// TestGenerated_rateOfShape checks that each shape gives the number of jobs that follows from its rate, within five standard deviations,
// and that an account whose Multiple is five sends five times its share, in addition to the jobs of the other account.
func TestGenerated_rateOfShape(t *testing.T) {
	for name, test := range map[string]struct {
		phase Phase
		want  float64
	}{
		"constant": {Phase{Shape: Constant, For: 10 * time.Second, Rate: 500}, 5000},
		"poisson":  {Phase{Shape: Poisson, For: 10 * time.Second, Rate: 500}, 5000},
		"ramp":     {Phase{Shape: Ramp, For: 10 * time.Second, Rate: 0, To: 1000}, 5000},
		"burst":    {Phase{Shape: Burst, For: 10 * time.Second, Rate: 100, To: 900, BurstPeriod: time.Second, BurstDuration: 500 * time.Millisecond}, 5000},
	} {
		if got := float64(len(allJobs(Generated([]Phase{test.phase}, Mix{}, 7)))); math.Abs(got-test.want) > 5*math.Sqrt(test.want) {
			t.Errorf("%s: %v jobs, want about %v", name, got, test.want)
		}
	}
	count := map[string]float64{}
	for _, job := range allJobs(Generated([]Phase{{Shape: Poisson, For: 10 * time.Second, Rate: 500}}, Mix{Accounts: []Account{{"a", 0.5, 5}, {"b", 0.5, 0}}}, 3)) {
		count[job.Account]++
	}
	if math.Abs(count["b"]-2500) > 250 || math.Abs(count["a"]-12500) > 600 {
		t.Errorf("jobs by account: %v", count)
	}
}

// TestReadTrace checks that a trace is read completely or not at all, and that the error names the line of its first mistake.
func TestReadTrace(t *testing.T) {
	accounts := []Account{{Name: "a"}, {Name: "b"}}
	for name, test := range map[string]struct{ format, text, want string }{
		"csv":             {"csv", "at_ms,account,key\n0,a,k1\n5000,b,k2\n", ""}, // a gap of five seconds is not shortened
		"json lines":      {"jsonl", "{\"at_ms\":0,\"account\":\"a\",\"subject\":\"s\"}\n\n{\"at_ms\":1.5,\"account\":\"b\"}\n", ""},
		"out of order":    {"jsonl", "{\"at_ms\":5,\"account\":\"a\"}\n{\"at_ms\":4,\"account\":\"a\"}\n", "line 2: at_ms 4 is before the 5 of the line before"},
		"unknown account": {"csv", "at_ms,account\n0,a\n1,zebra\n", `line 3: unknown account "zebra"`},
		"bad line":        {"jsonl", "{\"at_ms\":0,\"account\":\"a\"}\n{\"at_ms\":\n", "line 2:"},
		"no number":       {"csv", "at_ms,account\nsoon,a\n", `line 2: at_ms: expected a number, got "soon"`},
		"no time":         {"jsonl", "{\"account\":\"a\"}\n", "line 1:"},
		"negative time":   {"csv", "at_ms,account\n-1,a\n", "line 2: at_ms:"},
		"not a number":    {"csv", "at_ms,account\nNaN,a\n", "line 2:"},
		"unknown column":  {"csv", "at_ms,account,colour\n0,a,red\n", "line 2:"},
		"line break":      {"jsonl", "{\"at_ms\":0,\"account\":\"a\",\"key\":\"k\\r\\nHost: h\"}\n", "line 1: key:"},
		"short line":      {"csv", "at_ms,account\n0\n", "line 2"},
		"empty":           {"csv", "at_ms\n", "no job"},
		"format":          {"xml", "", "unknown trace format"},
	} {
		jobs, err := ReadTrace(strings.NewReader(test.text), test.format, accounts)
		if test.want == "" && (err != nil || len(jobs) != 2) || test.want != "" && (err == nil || !strings.Contains(err.Error(), test.want) || jobs != nil) {
			t.Errorf("%s: %d jobs, error %v, want %q", name, len(jobs), err, test.want)
		}
	}
}

// FuzzReadTrace checks that any text gives either jobs, in order and without line breaks, or an error.
func FuzzReadTrace(f *testing.F) {
	f.Add("at_ms,account\n0,a\n", true)
	f.Add("{\"at_ms\":0}\n", false)
	f.Fuzz(func(t *testing.T, text string, isCSV bool) {
		format := "jsonl"
		if isCSV {
			format = "csv"
		}
		jobs, err := ReadTrace(strings.NewReader(text), format, nil)
		if (err == nil) != (len(jobs) > 0) {
			t.Fatalf("%d jobs and error %v", len(jobs), err)
		}
		for i, job := range jobs {
			if job.At < 0 || i > 0 && job.At < jobs[i-1].At || strings.ContainsAny(job.Key+job.Subject+job.Account+job.Extra, "\r\n") {
				t.Fatalf("job %d: %+v", i, job)
			}
		}
	})
}

// TestParse_invalidPlan checks that a mistake in a plan is reported with file, line and column.
func TestParse_invalidPlan(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "t.csv"), []byte("at_ms\nx\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	header := "class = \"c\"\ngive_up = \"5s\"\n"
	for name, test := range map[string]struct{ text, want string }{
		"valid":      {header + "phase \"ramp\" {\n  for = \"1s\"\n  rate = 1\n  to = 9\n}\n", ""},
		"no phase":   {header, "plan.hcl:"},
		"shape":      {header + "phase \"cone\" {\n  for = \"1s\"\n  rate = 1\n}\n", "plan.hcl:3:7: Bad plan: There is no shape \"cone\""},
		"time":       {"class = \"c\"\ngive_up = \"soon\"\nphase \"poisson\" {\n  for = \"1s\"\n  rate = 1\n}\n", "plan.hcl:2:11:"},
		"two errors": {"class = \"\"\ngive_up = \"0s\"\nphase \"poisson\" {\n  for = \"1s\"\n  rate = 1\n}\n", "plan.hcl:2:11: Bad plan: give_up must be above 0."},
		"wire":       {header + "wire = \"smoke\"\nphase \"poisson\" {\n  for = \"1s\"\n  rate = 1\n}\n", "plan.hcl:3:8:"},
		"trace":      {header + "trace {\n  file = \"t.csv\"\n  format = \"csv\"\n}\n", "plan.hcl:4:10: Bad plan: t.csv: line 2: at_ms: expected a number, got \"x\""},
		"unknown":    {header + "speed = 3\n", "plan.hcl:3:1:"},
	} {
		_, err := Parse([]byte(test.text), filepath.Join(dir, "plan.hcl"))
		if (test.want == "") != (err == nil) || err != nil && !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: error %v, want %q", name, err, test.want)
		}
	}
}

// senderFunc is a Sender that calls a function.
type senderFunc func(ctx context.Context, j Job, attempt int, deadline time.Time) Answer

// Send calls the function.
func (s senderFunc) Send(ctx context.Context, j Job, attempt int, deadline time.Time) Answer {
	return s(ctx, j, attempt, deadline)
}

// TestRun_noCoordinatedOmission checks that a stall of the target for 150 ms shows in the latency percentiles, which count from when jobs
// were due, in an open and in a closed loop. In the percentiles that count from when attempts were sent, a closed loop hides the stall.
func TestRun_noCoordinatedOmission(t *testing.T) {
	const stall = 150 * time.Millisecond
	run := func(clients int) Figures {
		begin := time.Now()
		stalled := senderFunc(func(context.Context, Job, int, time.Time) Answer {
			if at := time.Since(begin); at > stall && at < 2*stall {
				time.Sleep(2*stall - at)
			}
			return Answer{}
		})
		options := Options{Terms: Terms{Deadline: time.Minute}, Begin: begin, Clients: clients}
		return Run(t.Context(), Generated([]Phase{{Shape: Constant, For: 3 * stall, Rate: 1000}}, Mix{}, 1), stalled, options).Figures()
	}
	open, closed := run(0), run(1)
	if open.Latency.P90 < 50 || open.Latency.Max < 140 {
		t.Errorf("open loop, from when due: %+v", open.Latency)
	}
	if closed.Latency.P90 < 50 {
		t.Errorf("closed loop, from when due: %+v", closed.Latency)
	}
	if closed.Service.P99 > 50 {
		t.Errorf("closed loop, from when sent, shows the stall: %+v", closed.Service)
	}
}

// TestRun_unusableIfLate checks that a result is unusable if the generator is late, here because its plan starts a second before the run,
// or if it reaches its limit of jobs in flight.
func TestRun_unusableIfLate(t *testing.T) {
	release := make(chan struct{})
	plan := func() Source {
		return Generated([]Phase{{Shape: Constant, For: 20 * time.Millisecond, Rate: 500}}, Mix{}, 1)
	}
	instant := senderFunc(func(context.Context, Job, int, time.Time) Answer { return Answer{} })
	late := Run(t.Context(), plan(), instant, Options{Terms: Terms{Deadline: time.Second}, Begin: time.Now().Add(-time.Second)})
	if err := late.Usable(); !errors.Is(err, ErrUnusable) || !strings.Contains(err.Error(), "late") || late.Figures().Usable {
		t.Errorf("late: %v", err)
	}
	var once sync.Once
	blocked := senderFunc(func(context.Context, Job, int, time.Time) Answer {
		once.Do(func() { time.AfterFunc(100*time.Millisecond, func() { close(release) }) })
		<-release
		return Answer{}
	})
	full := Run(t.Context(), plan(), blocked, Options{Terms: Terms{Deadline: time.Second}, MaxOpen: 3})
	if err := full.Usable(); !errors.Is(err, ErrUnusable) || full.Figures().Outcomes["served"] != 3 {
		t.Errorf("at the limit of jobs in flight: error %v, outcomes %v", err, full.Figures().Outcomes)
	}
}

// TestRun_cancelled checks that if the context is cancelled the result has what was measured and says that it was cut short.
func TestRun_cancelled(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	sent := 0
	sender := senderFunc(func(context.Context, Job, int, time.Time) Answer {
		if sent++; sent == 5 {
			stop()
		}
		return Answer{}
	})
	figures := Run(ctx, Generated([]Phase{{Shape: Constant, For: time.Hour, Rate: 100}}, Mix{}, 1), sender, Options{Clients: 1, Terms: Terms{Deadline: time.Second}}).Figures()
	var text strings.Builder
	if err := figures.Table(&text); err != nil || !figures.CutShort || figures.Outcomes["served"] < 5 || !strings.Contains(text.String(), "stopped after") {
		t.Errorf("%+v\n%s", figures, &text)
	}
}

// TestClient_retriesRejections checks that a client retries a rejection after its Retry-After, with the same key and a new id, and that the
// job counts once. It also checks that the client does not retry a failure, and does not retry after the deadline.
func TestClient_retriesRejections(t *testing.T) {
	type attempt struct {
		id, key, retry string
		receivedAt     time.Time
	}
	var mu sync.Mutex
	var got []attempt
	status := http.StatusServiceUnavailable
	target := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		got = append(got, attempt{r.Header.Get("Req-Id"), r.Header.Get("Idempotency-Key"), r.Header.Get("Req-Retry"), time.Now()})
		if len(got)%2 == 0 {
			w.WriteHeader(http.StatusOK)
			return
		}
		w.Header().Set("Retry-After", "0.1")
		w.WriteHeader(status)
	}))
	defer target.Close()
	client, err := NewClient(HTTP1, "price-part", []string{target.Listener.Addr().String()})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	run := func(deadline time.Duration) Figures {
		got = nil
		options := Options{Terms: Terms{Deadline: deadline, Retry: Retry{Max: 1, Share: 1, Wait: time.Millisecond, HonourRetryAfter: true}}}
		return Run(t.Context(), Recorded([]Job{{Account: "a"}}), client, options).Figures()
	}
	figures := run(5 * time.Second)
	if figures.Outcomes["served"] != 1 || figures.Attempts != 2 || got[0].key != got[1].key || got[0].id == got[1].id || got[1].retry != "1" || got[1].receivedAt.Sub(got[0].receivedAt) < 100*time.Millisecond {
		t.Errorf("figures %+v, attempts %+v", figures, got)
	}
	if figures := run(50 * time.Millisecond); figures.Outcomes["refused"] != 1 || len(got) != 1 {
		t.Errorf("deadline before Retry-After: outcomes %+v, %d attempts", figures.Outcomes, len(got))
	}
	status = http.StatusBadGateway
	if figures := run(5 * time.Second); figures.Outcomes["failed"] != 1 || len(got) != 1 {
		t.Errorf("after a failure: outcomes %+v, %d attempts", figures.Outcomes, len(got))
	}
}

// BenchmarkRun_pacing sends 20,000 jobs a second and reports how late they are sent.
func BenchmarkRun_pacing(b *testing.B) {
	instant := senderFunc(func(context.Context, Job, int, time.Time) Answer { return Answer{} })
	for b.Loop() {
		figures := Run(b.Context(), Generated([]Phase{{Shape: Poisson, For: 2 * time.Second, Rate: 20_000}}, Mix{}, 1), instant, Options{Terms: Terms{Deadline: time.Second}}).Figures()
		b.ReportMetric(figures.Rate, "jobs/s")
		b.ReportMetric(figures.Lag.P50, "lag-p50-ms")
		b.ReportMetric(figures.Lag.P99, "lag-p99-ms")
		b.ReportMetric(figures.Lag.Max, "lag-max-ms")
		if !figures.Usable {
			b.Error(figures.Why)
		}
	}
}
