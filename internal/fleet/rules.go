package fleet

import (
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/hcldiag"
)

// rulesFile is the content of a file of rules.
type rulesFile struct {
	RetryRatio      float64            `hcl:"retries,optional"`
	RetriesAllowed  bool               `hcl:"repeat,optional"`
	DetachedWorkers []string           `hcl:"out,optional"`
	QuotaCaps       map[string]float64 `hcl:"shares,optional"`
}

// noRetryBound is the retry ratio of rules that set no bound.
const noRetryBound = -1

// LoadRules reads a file of rules. It accepts the file as a whole or returns an error that lists all faults with file, line and
// column.
func LoadRules(path string) (*configversions.Rules, error) { return hcldiag.Read(path, ReadRules) }

// ReadRules reads the text of a file of rules; path is the file name in its errors.
func ReadRules(text []byte, path string) (*configversions.Rules, error) {
	file := rulesFile{RetryRatio: noRetryBound, RetriesAllowed: true}
	var rules configversions.Rules
	err := hcldiag.Decode(text, path, &file, func(body *hclsyntax.Body) (diags hcl.Diagnostics) {
		rules = configversions.Rules{
			RetryRatio:      file.RetryRatio,
			RetriesAllowed:  file.RetriesAllowed,
			DetachedWorkers: file.DetachedWorkers,
			QuotaCaps:       file.QuotaCaps,
		}
		if err := rules.Check(); err != nil {
			diags = append(diags, hcldiag.At(body.MissingItemRange(), "Bad rules", "%v.", err))
		}
		return diags
	})
	return &rules, err
}
