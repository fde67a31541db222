package program

import (
	"context"
	"fmt"
	"math"
	"strings"
	"time"

	"brassdale/internal/decisions/cachetrust"
	"brassdale/internal/endpointcache"
	"brassdale/internal/protocol"
	"brassdale/internal/routing"
	"brassdale/scheduler"
)

// endpointCache writes the endpoint list to disk, and makes a routing.CachedStart from the list that an earlier process wrote.
type endpointCache struct {
	dispatcher *dispatcher
	rules      cachetrust.Rules
	store      *endpointcache.Store
	loaded     *endpointcache.CachedList // nil if there is none
	writer     *endpointcache.Writer     // nil before startWriting
}

// openEndpointCache opens the cache's directory. If that fails, it logs a warning and returns nil: the dispatcher then runs without
// a cache.
func (d *dispatcher) openEndpointCache(settings *endpointcache.Settings, name string, current *protocol.Settings) *endpointCache {
	files, err := endpointcache.OpenOrCreate(settings.Directory, name)
	if err != nil {
		d.log.Warn("endpoint cache disabled", "err", err)
		return nil
	}
	maxAge, _ := settings.ParseMaxAge() // checked when the operator's file was read
	cache := &endpointCache{
		dispatcher: d,
		rules: cachetrust.Rules{
			MaxAge:            maxAge,
			MinFirstListShare: settings.MinFirstListShare,
			SlowStartDuration: current.Rules.Cold.Duration(),
			SlowStartCapacity: current.Rules.StartCapacity,
			MayProbe:          current.Limits.Probing,
		},
		store: endpointcache.NewStore(files, name),
	}
	var faults []string
	cache.loaded, faults = cache.store.Load()
	for _, fault := range faults {
		d.log.Warn("endpoint cache damaged", "fault", fault)
	}
	return cache
}

// cachedStart returns the routing.CachedStart of the cached list; nil if there is no cached list.
func (c *endpointCache) cachedStart(clock routing.Clock) *routing.CachedStart {
	cached := c.loaded
	if cached == nil || len(cached.Members) == 0 {
		return nil
	}
	current := c.dispatcher.settings.Current()
	start := &routing.CachedStart{
		Endpoints:     map[scheduler.WorkerID]routing.Endpoint{},
		LearnedState:  cached.LearnedState(),
		ReportsPulled: current.LoadReport.Via == "pull",
	}
	start.LearnedState.Classes = c.dispatcher.settings.StatisticsByNumber(cached.Classes)
	for _, class := range start.LearnedState.Classes {
		start.MeanLogRuntime = append(start.MeanLogRuntime, meanLogRuntime(class))
	}
	endpoints := cached.List().Endpoints(current)
	for _, endpoint := range endpoints {
		start.Endpoints[endpoint.ID] = endpoint
	}
	list := cachetrust.CachedList{
		ConfirmedAt: clock.At(cached.ConfirmedAt()),
		Revision:    cached.Revision,
		Workers:     cachedWorkers(cached, endpoints),
	}
	start.Assessor = cachetrust.New(clock.Now(), list, c.rules)
	return start
}

// meanLogRuntime returns the mean logarithm of the runtimes of a class; NaN if no job of it has ended.
func meanLogRuntime(class scheduler.ClassStatistics) float64 {
	if class.Jobs > 0 {
		return class.MeanLogRuntime
	}
	return math.NaN()
}

// cachedWorkers returns the workers of a cached list. endpoints are its members, in their order.
func cachedWorkers(cached *endpointcache.CachedList, endpoints []routing.Endpoint) (workers []cachetrust.CachedWorker) {
	detached := map[string]bool{}
	for _, id := range cached.Detached {
		detached[id] = true
	}
	for i, endpoint := range endpoints {
		worker := cachetrust.CachedWorker{
			ID:        endpoint.ID,
			State:     endpoint.State,
			Detached:  detached[string(endpoint.ID)],
			StartedAt: endpoint.StartedAt,
		}
		if ms := cached.Members[i].LastSignalMS; ms > 0 {
			worker.LastSignal = time.Duration(ms) * time.Millisecond
		}
		workers = append(workers, worker)
	}
	return workers
}

// startWriting starts a goroutine that writes the endpoint list until the context ends.
func (c *endpointCache) startWriting(ctx context.Context) {
	d := c.dispatcher
	c.writer = endpointcache.NewWriter(c.store, c.loaded, c, d.reloader.discoveryAddress, d.settings.Current, d.log)
	d.endpointList.SetStore(c.writer)
	go c.writer.Run(ctx)
}

// LearnedState returns what the scheduler has learned, and the statistics of classes by their names.
func (c *endpointCache) LearnedState(ctx context.Context) (scheduler.LearnedState, map[string]scheduler.ClassStatistics, error) {
	learned, err := c.dispatcher.core.LearnedState(ctx)
	return learned, c.dispatcher.settings.StatisticsByName(learned), err
}

// trustLevelNames are the names of routing.ListSource.TrustLevels in metrics, in their order.
var trustLevelNames = []string{"unheard", "foreign", "absent", "heard", "proven", "barred"}

// metrics returns the metrics of the cache and of the source of the list, one a line.
func (c *endpointCache) metrics() string {
	source := c.dispatcher.endpointList.Source()
	var text strings.Builder
	fmt.Fprintf(&text, "list_source=%s\n", source.Name)
	if !source.ConfirmedAt.IsZero() {
		fmt.Fprintf(&text, "list_age_s=%d\n", int(time.Since(source.ConfirmedAt).Seconds()))
	}
	if source.Name == routing.SourceCache {
		fmt.Fprintf(&text, "list_doubted=%d\n", oneIf(source.AwaitingConfirmation))
		for level, name := range trustLevelNames {
			fmt.Fprintf(&text, "boxes_%s=%d\n", name, source.TrustLevels[level])
		}
	}
	stats := c.writer.Stats()
	fmt.Fprintf(&text, "saved_snapshots=%d\nsaved_records=%d\nsaved_faults=%d\n", stats.Snapshots, stats.Records, stats.Faults)
	if !stats.LastSnapshot.IsZero() {
		fmt.Fprintf(&text, "saved_age_s=%d\n", int(time.Since(stats.LastSnapshot).Seconds()))
	}
	return text.String()
}

// oneIf returns 1 for true and 0 for false.
func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}
