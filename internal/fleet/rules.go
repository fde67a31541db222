package fleet

import (
	"context"
	"fmt"
	"net/http"
	"reflect"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/hcldiag"
)

// rulesFile is a proposal as it is written.
type rulesFile struct {
	Retries float64            `hcl:"retries,optional"`
	Repeat  bool               `hcl:"repeat,optional"`
	Out     []string           `hcl:"out,optional"`
	Shares  map[string]float64 `hcl:"shares,optional"`
}

// LoadRules reads a proposal, whole or not at all. An error names all faults with file, line and column.
func LoadRules(path string) (*configversions.Rules, error) { return hcldiag.Read(path, ReadRules) }

// ReadRules reads the text of one.
func ReadRules(text []byte, path string) (*configversions.Rules, error) {
	f := rulesFile{Retries: -1, Repeat: true}
	var r configversions.Rules
	err := hcldiag.Decode(text, path, &f, func(body *hclsyntax.Body) (diags hcl.Diagnostics) {
		r = configversions.Rules{RetryRatio: f.Retries, RetriesAllowed: f.Repeat, DetachedWorkers: f.Out, Quotas: f.Shares}
		if err := r.Check(); err != nil {
			diags = append(diags, hcldiag.At(body.MissingItemRange(), "Bad rules", "%v.", err))
		}
		return diags
	})
	return &r, err
}

const (
	proposeWithin = 30 * time.Second // a proposal of a file is tried again for so long while there is no leader
	proposeEvery  = 500 * time.Millisecond
)

// ProposeFile proposes rules that this dispatcher has read, where they are not in force, and logs what came of it.
func (a *Agent) ProposeFile(ctx context.Context, r configversions.Rules) {
	ctx, stop := context.WithDeadline(ctx, time.Now().Add(proposeWithin))
	defer stop()
	for {
		known := a.Status().Record
		if known.InForce.Number > 0 && reflect.DeepEqual(known.InForce.Rules, r) {
			a.log.Info("the rules in the file are in force", "version", known.InForce.Number)
			return
		}
		if v := known.Announced; v != nil && reflect.DeepEqual(v.Rules, r) {
			a.log.Info("the rules in the file are announced", "version", v.Number)
			return
		}
		got, status := a.propose(ctx, configversions.Version{Number: known.InForce.Number, Rules: r, By: a.Name, Reason: "SIGHUP at " + a.Name, At: time.Now().UTC()}, false)
		switch {
		case status == http.StatusOK && got.Record != nil && got.Record.Announced != nil:
			a.log.Info("proposed", "version", got.Record.Announced.Number)
			return
		case status == http.StatusConflict && got.Record != nil && got.Record.Announced != nil && !reflect.DeepEqual(got.Record.Announced.Rules, r):
			a.log.Error("the fleet's rules are not proposed", "err", fmt.Sprintf("version %d by %s is under way", got.Record.Announced.Number, got.Record.Announced.By))
			return
		case status == http.StatusBadRequest, ctx.Err() != nil:
			a.log.Error("the fleet's rules are not proposed", "err", got.Why)
			return
		}
		pause(ctx, proposeEvery)
	}
}
