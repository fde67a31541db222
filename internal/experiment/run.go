package experiment

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"brassdale/internal/emulator"
	"brassdale/internal/emulator/policy"
	"brassdale/scheduler"
)

// Runner runs a variant's scenario.
type Runner func(ctx context.Context, v Variant, s emulator.Scenario) (*emulator.Result, error)

// InVirtualTime is a Runner that runs the emulator in virtual time.
func InVirtualTime(_ context.Context, v Variant, s emulator.Scenario) (*emulator.Result, error) {
	return emulator.Run(s, v.newPolicy())
}

// OnSockets returns a Runner that runs processes of a dispatcher's program on loopback. It returns an error for a variant
// with a plain policy, because the program always uses the scheduler.
func OnSockets(binary string) Runner {
	return func(ctx context.Context, variant Variant, scenario emulator.Scenario) (*emulator.Result, error) {
		if !variant.usesScheduler() {
			return nil, fmt.Errorf("policy %q cannot be run on sockets: the program always uses the scheduler", variant.Policy)
		}
		return emulator.RunOnSockets(ctx, scenario, binary)
	}
}

// newPolicy returns the function that makes the variant's policy.
func (v *Variant) newPolicy() func(scheduler.Settings, uint64) emulator.Policy {
	if v.usesScheduler() {
		return func(settings scheduler.Settings, seed uint64) emulator.Policy { return scheduler.New(settings, seed) }
	}
	return func(settings scheduler.Settings, seed uint64) emulator.Policy {
		return policy.New(v.Policy, settings, seed)
	}
}

// task is one run: a variant, by index, and the offset of its seed from the first.
type task struct{ seed, variant int }

// Run runs all variants with all seeds, seed by seed. The parameter parallel is the maximum number of runs at a time. Run calls step after
// each run, one call at a time. If the context ends or a run fails, it returns the rows until then with the error.
func Run(ctx context.Context, file *File, runner Runner, parallel int, build string, step func()) ([]Row, error) {
	tasks := make(chan task)
	go func() {
		defer close(tasks)
		file.sendTasks(ctx, tasks)
	}()
	var mu sync.Mutex
	var workers sync.WaitGroup
	var rows []Row
	var firstErr error
	for range parallel {
		workers.Go(func() {
			for task := range tasks {
				row, err := file.runTask(ctx, task, runner, build)
				mu.Lock()
				if err != nil {
					firstErr = cmp.Or(firstErr, err)
				} else {
					rows = append(rows, row)
				}
				step()
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	file.sortRows(rows)
	return rows, cmp.Or(firstErr, ctx.Err())
}

// sendTasks sends the experiment's runs, seed by seed, until the context ends.
func (f *File) sendTasks(ctx context.Context, tasks chan<- task) {
	for seed := range f.Seeds {
		for variant := range f.Variants {
			select {
			case tasks <- task{seed, variant}:
			case <-ctx.Done():
				return
			}
		}
	}
}

// runTask executes one run.
func (f *File) runTask(ctx context.Context, task task, runner Runner, build string) (Row, error) {
	variant, seed := f.Variants[task.variant], uint64(f.First+task.seed)
	scenario, err := f.Scenario(variant, seed)
	if err != nil {
		return Row{}, fmt.Errorf("variant %q, seed %d: %w", variant.Name, seed, err)
	}
	result, err := runner(ctx, variant, scenario)
	if err != nil {
		return Row{}, fmt.Errorf("variant %q, seed %d: %w", variant.Name, seed, err)
	}
	return newRow(variant.Name, seed, build, result, scenario.Network.CrossPrice), nil
}

// sortRows sorts rows by variant, in the file's order, and seed.
func (f *File) sortRows(rows []Row) {
	order := map[string]int{}
	for i, variant := range f.Variants {
		order[variant.Name] = i
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(order[a.Variant], order[b.Variant]), cmp.Compare(a.Seed, b.Seed))
	})
}
