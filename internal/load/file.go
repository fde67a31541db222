package load

import (
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"

	"brassdale/internal/hcldiag"
)

// File is a plan's file.
type File struct {
	Class            string         `hcl:"class"`
	Deadline         string         `hcl:"give_up"`
	LatencyObjective string         `hcl:"aim,optional"`
	Wire             string         `hcl:"wire,optional"` // HTTP1 if left out
	Seed             int            `hcl:"seed,optional"`
	MaxOpen          int            `hcl:"most_open,optional"`
	Phases           []phaseBlock   `hcl:"phase,block"`
	Trace            *traceBlock    `hcl:"trace,block"`
	Accounts         []accountBlock `hcl:"account,block"`
	Subjects         *subjectsBlock `hcl:"subjects,block"`
	Retry            *retryBlock    `hcl:"retry,block"`

	// Set by check.
	dir    string // of the file: relative paths start here
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
	Name     string  `hcl:"name,label"`
	Share    float64 `hcl:"share"`
	Multiple float64 `hcl:"times,optional"`
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

// Load reads and checks a plan and its trace. The error lists all mistakes with file, line and column.
func Load(path string) (*File, error) { return hcldiag.Read(path, Parse) }

// Parse parses and checks the text of a plan and its trace. path is its name in errors; a relative path of a trace
// starts in its directory.
func Parse(text []byte, path string) (*File, error) {
	f := &File{Seed: 1, Wire: string(HTTP1), dir: filepath.Dir(path)}
	if err := hcldiag.Decode(text, path, f, f.check); err != nil {
		return nil, err
	}
	return f, nil
}

// checker collects the mistakes of a plan.
type checker struct {
	file   *File
	body   *hclsyntax.Body
	blocks map[string][]*hclsyntax.Block
	diags  hcl.Diagnostics
}

// check returns the mistakes that gohcl does not find, and sets the parsed fields of the plan.
func (f *File) check(body *hclsyntax.Body) hcl.Diagnostics {
	c := &checker{file: f, body: body, blocks: hcldiag.Blocks(body)}
	c.checkAttributes()
	c.checkPhases()
	c.checkAccounts()
	c.checkSubjects()
	c.checkRetry()
	if f.Trace != nil && !c.diags.HasErrors() {
		if err := f.readTrace(f.Trace); err != nil {
			c.add(hcldiag.Place(c.blocks["trace"][0].Body, "file"), "%s: %v.", f.Trace.File, err)
		}
	}
	return c.diags
}

// add adds a mistake.
func (c *checker) add(place hcl.Range, format string, args ...any) {
	c.diags = append(c.diags, hcldiag.At(place, "Bad plan", format, args...))
}

// duration parses the text of an attribute of a body. An empty text is 0.
func (c *checker) duration(body *hclsyntax.Body, attribute, text string) time.Duration {
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		c.add(hcldiag.Place(body, attribute), "%s: %q: expected a duration like \"2.5s\".", attribute, text)
	}
	return duration
}

// checkAttributes checks the plan's attributes and that it has either phases or a trace.
func (c *checker) checkAttributes() {
	file, body := c.file, c.body
	file.terms = Terms{Class: file.Class, Deadline: c.duration(body, "give_up", file.Deadline), LatencyObjective: c.duration(body, "aim", file.LatencyObjective)}
	if file.Class == "" {
		c.add(hcldiag.Place(body, "class"), "class is empty.")
	}
	if file.terms.Deadline <= 0 {
		c.add(hcldiag.Place(body, "give_up"), "give_up must be above 0.")
	}
	if file.Seed < 0 {
		c.add(hcldiag.Place(body, "seed"), "seed must not be below 0.")
	}
	if err := Wire(file.Wire).check(); err != nil {
		c.add(hcldiag.Place(body, "wire"), "%v.", err)
	}
	if (len(file.Phases) > 0) == (file.Trace != nil) {
		c.add(body.MissingItemRange(), "A plan needs either phases or a trace.")
	}
}

// checkPhases checks the phases and converts them for the generator.
func (c *checker) checkPhases() {
	for i, configured := range c.file.Phases {
		block := c.blocks["phase"][i]
		shape, ok := shapesByName[configured.Shape]
		if !ok {
			c.add(block.LabelRanges[0], "There is no shape %q; there are constant, poisson, ramp, burst, day.", configured.Shape)
			continue
		}
		phase := Phase{
			Shape:         shape,
			For:           c.duration(block.Body, "for", configured.For),
			Rate:          configured.Rate,
			To:            configured.To,
			BurstPeriod:   c.duration(block.Body, "every", configured.Every),
			BurstDuration: c.duration(block.Body, "last", configured.Last),
		}
		if err := phase.check(); err != nil {
			c.add(block.DefRange(), "%v.", err)
		}
		c.file.phases = append(c.file.phases, phase)
	}
}

// checkAccounts checks the accounts.
func (c *checker) checkAccounts() {
	names := map[string]bool{}
	for i, account := range c.file.Accounts {
		if account.Share <= 0 || account.Multiple < 0 || names[account.Name] {
			c.add(c.blocks["account"][i].DefRange(), "An account needs a unique name, a share above 0, and times not below 0.")
		}
		names[account.Name] = true
	}
}

// checkSubjects checks the subjects.
func (c *checker) checkSubjects() {
	subjects := c.file.Subjects
	if subjects != nil && (subjects.Number < 1 || subjects.Zipf != 0 && subjects.Zipf <= 1) {
		c.add(c.blocks["subjects"][0].DefRange(), "subjects needs a number above 0, and zipf above 1 or left out.")
	}
}

// checkRetry checks the retries and converts them for the generator.
func (c *checker) checkRetry() {
	retry := c.file.Retry
	if retry == nil {
		return
	}
	block := c.blocks["retry"][0]
	c.file.terms.Retry = Retry{Max: retry.Max, Share: retry.Share, Wait: c.duration(block.Body, "wait", retry.Wait), HonourRetryAfter: retry.Honour}
	if retry.Max < 0 || retry.Share < 0 || retry.Share > 1 {
		c.add(block.DefRange(), "retry needs most not below 0 and a share from 0 to 1.")
	}
}

// readTrace reads the plan's trace.
func (f *File) readTrace(block *traceBlock) error {
	path := block.File
	if !filepath.IsAbs(path) {
		path = filepath.Join(f.dir, path)
	}
	in, err := os.Open(path)
	if err != nil {
		return errors.New("cannot be read")
	}
	defer func() { _ = in.Close() }() // it was only read
	f.trace, err = ReadTrace(in, block.Format, f.mix().Accounts)
	return err
}

// mix returns the plan's accounts and subjects for the generator.
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

// Source returns the plan's jobs, from the first.
func (f *File) Source() Source {
	if f.Trace != nil {
		return Recorded(f.trace)
	}
	return Generated(f.phases, f.mix(), uint64(f.Seed))
}

// Options returns the options for a run of the plan.
func (f *File) Options() Options {
	return Options{Terms: f.terms, Seed: uint64(f.Seed), MaxOpen: f.MaxOpen}
}

// Client returns a client that sends the plan's jobs to targets (host:port).
func (f *File) Client(targets []string) (*Client, error) {
	return NewClient(Wire(f.Wire), f.Class, targets)
}
