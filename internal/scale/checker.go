package scale

import (
	"fmt"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
)

// checker collects the mistakes of a file that gohcl does not find.
type checker struct {
	file  *File
	body  *hclsyntax.Body
	diags hcl.Diagnostics
}

// check returns all mistakes in the file.
func (c *checker) check() hcl.Diagnostics {
	plan := c.file.plan(c.report)
	if c.file.Seeds < 0 {
		c.report("seeds", "It must be 1 or more.")
	}
	plan.check(c.report)
	blocks := hcldiag.Blocks(c.body)
	c.checkFaults(&plan, blocks["fault"])
	c.checkSweeps(blocks["slope"])
	return c.diags
}

// report adds a mistake at an attribute of the file or of its changes block.
func (c *checker) report(attribute, format string, args ...any) {
	body := c.body
	for _, block := range c.body.Blocks {
		if block.Type == "changes" && block.Body.Attributes[attribute] != nil {
			body = block.Body
		}
	}
	c.add(hcldiag.Place(body, attribute), attribute, format, args...)
}

// reportIn adds a mistake at an attribute of a block, or at the block's label if the attribute is "kind".
func (c *checker) reportIn(block *hclsyntax.Block, attribute, format string, args ...any) {
	place := hcldiag.Place(block.Body, attribute)
	if attribute == "kind" && len(block.LabelRanges) > 0 {
		place = block.LabelRanges[0]
	}
	c.add(place, attribute, format, args...)
}

// add adds a mistake at a place.
func (c *checker) add(place hcl.Range, attribute, format string, args ...any) {
	c.diags = append(c.diags, hcldiag.At(place, "Bad "+attribute, format, args...))
}

// checkFaults checks each fault against the plan.
func (c *checker) checkFaults(plan *Plan, blocks []*hclsyntax.Block) {
	faults := c.file.faults(func(index int, attribute, format string, args ...any) {
		c.reportIn(blocks[index], attribute, format, args...)
	})
	for i := range faults {
		faults[i].check(plan, func(attribute, format string, args ...any) { c.reportIn(blocks[i], attribute, format, args...) })
	}
}

// checkSweeps checks the plan of each size.
func (c *checker) checkSweeps(blocks []*hclsyntax.Block) {
	for index, sweep := range c.file.Sweeps {
		block := blocks[index]
		if len(sweep.Sizes) == 0 {
			c.reportIn(block, "of", "It must name sizes.")
		}
		for _, size := range sweep.Sizes {
			resized, ok := c.file.resized(sweep.By, size)
			if !ok {
				c.reportIn(block, "of", "%d %s: the size must be above 0, and the label dispatchers, workers, zones or changes; changes needs the changes block.",
					size, sweep.By)
				break
			}
			plan := resized.plan(ignoreMistake)
			plan.check(func(attribute, format string, args ...any) {
				c.reportIn(block, "of", "%d %s, %s: %s", size, sweep.By, attribute, fmt.Sprintf(format, args...))
			})
		}
	}
}
