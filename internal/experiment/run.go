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

// InVirtualTime is a Runner that runs the model alone.
func InVirtualTime(_ context.Context, v Variant, s emulator.Scenario) (*emulator.Result, error) {
	return emulator.Run(s, v.newPolicy())
}

// OnSockets returns a Runner that runs processes of a dispatcher's program on loopback. It accepts no variant with a policy, as
// the program decides by its scheduler.
func OnSockets(binary string) Runner {
	return func(ctx context.Context, variant Variant, scenario emulator.Scenario) (*emulator.Result, error) {
		if !variant.usesScheduler() {
			return nil, fmt.Errorf("policy %q is not the program's", variant.Policy)
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

// task is a run to do: a variant, by index, and the offset of its seed from the first.
type task struct{ seed, variant int }

// Run runs all variants with all seeds, as many at a time as parallel says, the variants of a seed after each other. It calls
// step after each run, one call at a time. If the context ends or a run fails, it returns the rows until then with the error.
func Run(ctx context.Context, file *File, play Runner, parallel int, build string, step func()) ([]Row, error) {
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
				row, err := file.runTask(ctx, task, play, build)
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

// runTask does one run.
func (f *File) runTask(ctx context.Context, task task, play Runner, build string) (Row, error) {
	variant, seed := f.Variants[task.variant], uint64(f.First+task.seed)
	scenario, err := f.Scenario(variant, seed)
	if err != nil {
		return Row{}, fmt.Errorf("variant %q, seed %d: %w", variant.Name, seed, err)
	}
	result, err := play(ctx, variant, scenario)
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
