package program

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"brassdale/internal/decisions/cachetrust"
	store "brassdale/internal/endpointcache"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// saved is the part of the program that keeps the list on disk and starts from it.
type saved struct {
	d      *dispatcher
	rules  cachetrust.Rules
	store  *store.Store
	loaded *store.CachedList // nil where there is none
	keeper *store.Writer
}

// openSaved opens the folder. One that is of no use costs a line of the log and no more.
func (d *dispatcher) openSaved(s *store.Settings, name string, p *protocol.Settings) *saved {
	oldest, _ := s.ParseMaxAge() // was checked
	sv := &saved{d: d, rules: cachetrust.Rules{MaxAge: oldest, MinFirstListShare: s.MinFirstListShare, SlowStartDuration: p.Rules.Cold.Duration(),
		SlowStartCapacity: p.Rules.StartCapacity, MayProbe: p.Limits.Probing}}
	files, err := store.OpenOrCreate(s.Directory, name)
	if err != nil {
		d.log.Warn("endpoint cache disabled", "err", err)
		return nil
	}
	sv.store = store.NewStore(files, name)
	var notes []string
	sv.loaded, notes = sv.store.Load()
	for _, note := range notes {
		d.log.Warn("endpoint cache damaged", "fault", note)
	}
	return sv
}

// from gives a start from what was loaded; nil where that is of no use.
func (sv *saved) from(clock routing.Clock) *routing.CachedStart {
	s := sv.loaded
	if s == nil || len(s.Members) == 0 {
		return nil
	}
	p := sv.d.params.Current()
	out := map[string]bool{}
	for _, id := range s.Detached {
		out[id] = true
	}
	f := &routing.CachedStart{Endpoints: map[scheduler.WorkerID]routing.Endpoint{}, LearnedState: s.LearnedState(),
		ReportsPulled: p.LoadReport.Via == "pull"}
	f.LearnedState.Classes = sv.d.params.StatisticsByNumber(s.Classes)
	for _, c := range f.LearnedState.Classes {
		usual := math.NaN()
		if c.Jobs > 0 {
			usual = c.MeanLogRuntime
		}
		f.MeanLogRuntime = append(f.MeanLogRuntime, usual)
	}
	list := cachetrust.CachedList{ConfirmedAt: clock.At(s.ConfirmedAt()), Revision: s.Revision}
	for i, d := range s.List().Destinations(p) {
		f.Endpoints[d.ID] = d
		w := cachetrust.CachedWorker{ID: d.ID, State: d.State, Detached: out[string(d.ID)], StartedAt: d.StartedAt}
		if ms := s.Members[i].LastSignalMS; ms > 0 {
			w.LastSignal = time.Duration(ms) * time.Millisecond
		}
		list.Workers = append(list.Workers, w)
	}
	f.Assessor = cachetrust.New(clock.Now(), list, sv.rules)
	return f
}

// keep has the list kept from now on.
func (sv *saved) keep(ctx context.Context) {
	sv.keeper = store.NewWriter(sv.store, sv.loaded, sv, sv.d.reloader.address, sv.d.params.Current, sv.d.log)
	sv.d.set.SetStore(sv.keeper)
	go sv.keeper.Run(ctx)
}

// Experience gives what the module has learned.
func (sv *saved) LearnedState(ctx context.Context) (scheduler.LearnedState, map[string]scheduler.ClassStatistics, error) {
	e, err := sv.d.core.LearnedState(ctx)
	return e, sv.d.params.StatisticsByName(e), err
}

// figures are those of the list, a line each.
func (sv *saved) figures() string {
	src := sv.d.set.Source()
	var b strings.Builder
	fmt.Fprintf(&b, "list_source=%s\n", src.Name)
	if !src.ConfirmedAt.IsZero() {
		fmt.Fprintf(&b, "list_age_s=%d\n", int(time.Since(src.ConfirmedAt).Seconds()))
	}
	if src.Name == "saved" {
		fmt.Fprintf(&b, "list_doubted=%d\n", oneIf(src.AwaitingConfirmation))
		for stage, name := range []string{"unheard", "foreign", "absent", "heard", "proven", "barred"} {
			fmt.Fprintf(&b, "boxes_%s=%d\n", name, src.TrustLevels[stage])
		}
	}
	k := sv.keeper.Stats()
	fmt.Fprintf(&b, "saved_snapshots=%d\nsaved_records=%d\nsaved_faults=%d\n", k.Snapshots, k.Records, k.Faults)
	if !k.LastSnapshot.IsZero() {
		fmt.Fprintf(&b, "saved_age_s=%d\n", int(time.Since(k.LastSnapshot).Seconds()))
	}
	return b.String()
}

func oneIf(is bool) int {
	if is {
		return 1
	}
	return 0
}
