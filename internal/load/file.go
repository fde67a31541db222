package load

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
)

// File is a plan as an operator writes it.
type File struct {
	Class    string         `hcl:"class"`
	GiveUp   string         `hcl:"give_up"`
	Aim      string         `hcl:"aim,optional"`
	Wire     string         `hcl:"wire,optional"` // http1, if left out
	Seed     int            `hcl:"seed,optional"`
	MaxOpen  int            `hcl:"most_open,optional"`
	Phases   []phaseBlock   `hcl:"phase,block"`
	Trace    *traceBlock    `hcl:"trace,block"`
	Accounts []accountBlock `hcl:"account,block"`
	Subjects *subjectsBlock `hcl:"subjects,block"`
	Retry    *retryBlock    `hcl:"retry,block"`

	dir    string // relative paths are from here
	phases []Phase
	terms  Terms
	trace  []Job
}

type phaseBlock struct {
	Shape string  `hcl:"shape,label"`
	For   string  `hcl:"for"`
	Rate  float64 `hcl:"rate"`
	To    float64 `hcl:"to,optional"`
	Every string  `hcl:"every,optional"`
	Last  string  `hcl:"last,optional"`
}

type traceBlock struct {
	File   string `hcl:"file"`
	Format string `hcl:"format"`
}

type accountBlock struct {
	Name  string  `hcl:"name,label"`
	Share float64 `hcl:"share"`
	Times float64 `hcl:"times,optional"`
}

type subjectsBlock struct {
	Number int     `hcl:"number"`
	Zipf   float64 `hcl:"zipf,optional"`
}

type retryBlock struct {
	Max    int     `hcl:"most"`
	Share  float64 `hcl:"share"`
	Wait   string  `hcl:"wait"`
	Honour bool    `hcl:"honour,optional"`
}

// Load reads and checks a plan, its trace too. An error names all faults with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse reads the text of a plan; path is its name in errors, and where its trace's path begins.
func Parse(text []byte, path string) (*File, error) {
	f := &File{Seed: 1, Wire: string(HTTP1), dir: filepath.Dir(path)}
	if err := hcldiag.Decode(text, path, f, f.check); err != nil {
		return nil, err
	}
	return f, nil
}

// check finds what gohcl cannot, and fills in what the plan means.
func (f *File) check(body *hclsyntax.Body) (diags hcl.Diagnostics) {
	bad := func(at hcl.Range, format string, a ...any) {
		diags = append(diags, hcldiag.At(at, "Bad plan", format, a...))
	}
	blocks := hcldiag.Blocks(body)
	span := func(b *hclsyntax.Body, name, text string) time.Duration {
		if text == "" {
			return 0
		}
		d, err := time.ParseDuration(text)
		if err != nil || d < 0 {
			bad(hcldiag.Place(b, name), "%s: %q is no time like \"2.5s\".", name, text)
		}
		return d
	}
	f.terms = Terms{Class: f.Class, GiveUp: span(body, "give_up", f.GiveUp), Aim: span(body, "aim", f.Aim)}
	if f.Class == "" {
		bad(hcldiag.Place(body, "class"), "class is empty.")
	}
	if f.terms.GiveUp <= 0 {
		bad(hcldiag.Place(body, "give_up"), "give_up must be above 0.")
	}
	if f.Seed < 0 {
		bad(hcldiag.Place(body, "seed"), "seed must not be below 0.")
	}
	if _, err := NewClient(Wire(f.Wire), "x", []string{"h:1"}); err != nil {
		bad(hcldiag.Place(body, "wire"), "%v.", err)
	}
	if (len(f.Phases) > 0) == (f.Trace != nil) {
		bad(body.MissingItemRange(), "A plan has phases, or a trace.")
	}
	for i, p := range f.Phases {
		b := blocks["phase"][i]
		shape, ok := shapesByName[p.Shape]
		if !ok {
			bad(b.LabelRanges[0], "There is no shape %q; there are constant, poisson, ramp, burst, day.", p.Shape)
			continue
		}
		phase := Phase{Shape: shape, For: span(b.Body, "for", p.For), Rate: p.Rate, To: p.To, Every: span(b.Body, "every", p.Every), Last: span(b.Body, "last", p.Last)}
		if err := phase.check(); err != nil {
			bad(b.DefRange(), "%v.", err)
		}
		f.phases = append(f.phases, phase)
	}
	names := map[string]bool{}
	for i, a := range f.Accounts {
		b := blocks["account"][i]
		if a.Share <= 0 || a.Times < 0 || names[a.Name] {
			bad(b.DefRange(), "An account has a name of its own, a share above 0, and times not below 0.")
		}
		names[a.Name] = true
	}
	if s := f.Subjects; s != nil && (s.Number < 1 || s.Zipf != 0 && s.Zipf <= 1) {
		bad(blocks["subjects"][0].DefRange(), "subjects needs a number above 0, and zipf above 1 or left out.")
	}
	if r := f.Retry; r != nil {
		b := blocks["retry"][0]
		f.terms.Retry = Retry{Max: r.Max, Share: r.Share, Wait: span(b.Body, "wait", r.Wait), Honour: r.Honour}
		if r.Max < 0 || r.Share < 0 || r.Share > 1 {
			bad(b.DefRange(), "retry needs most not below 0 and a share from 0 to 1.")
		}
	}
	if t := f.Trace; t != nil && !diags.HasErrors() {
		if err := f.readTrace(t); err != nil {
			bad(hcldiag.Place(blocks["trace"][0].Body, "file"), "%s: %v.", t.File, err)
		}
	}
	return diags
}

// readTrace reads the trace.
func (f *File) readTrace(block *traceBlock) error {
	path := block.File
	if !filepath.IsAbs(path) {
		path = filepath.Join(f.dir, path)
	}
	input, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("cannot be read")
	}
	defer input.Close()
	f.trace, err = ReadTrace(input, block.Format, f.mix().Accounts)
	return err
}

func (f *File) mix() Mix {
	m := Mix{}
	for _, a := range f.Accounts {
		m.Accounts = append(m.Accounts, Account(a))
	}
	if f.Subjects != nil {
		m.Subjects, m.Zipf = f.Subjects.Number, f.Subjects.Zipf
	}
	return m
}

// Source gives the plan's jobs, from the first.
func (f *File) Source() Source {
	if f.Trace != nil {
		return Recorded(f.trace)
	}
	return Generated(f.phases, f.mix(), uint64(f.Seed))
}

// Options are those of a run of the plan.
func (f *File) Options() Options {
	return Options{Terms: f.terms, Seed: uint64(f.Seed), MaxOpen: f.MaxOpen}
}

// Client gives what sends the plan's jobs to targets.
func (f *File) Client(targets []string) (*Client, error) {
	return NewClient(Wire(f.Wire), f.Class, targets)
}
