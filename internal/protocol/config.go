// Package protocol holds the messages of both fronts, of endpoints and of discovery. Each is decoded
// into a small typed value once and encoded once; nothing here opens a socket.
package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"
)

// Config is what the platform tells a dispatcher at its start. Unknown keys are skipped.
type Config struct {
	Name      string
	Listen    string
	Discovery string
	Admin     string // the door for operators; off where it is empty
	Seed      string
	Limits    Limits
	Known     *List
	Settings  Params
}

// Limits are what the platform gives a dispatcher; 0 stands for no limit told.
type Limits struct {
	Cores    float64
	MemoryMB int `json:"memory_mb"`
	Sockets  int
}

// LoadConfig reads the platform's file. The variables that the platform sets beside it fill what the
// file leaves out. An error names the field at fault: a dispatcher must not start half configured.
func LoadConfig(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, fmt.Errorf("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c := &Config{Name: env("GW_NAME"), Listen: env("GW_LISTEN"), Discovery: env("GW_DISCOVERY"), Admin: env("GW_ADMIN")}
	if err := json.Unmarshal(text, c); err != nil {
		if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
			return nil, fmt.Errorf("%s: %s: a %s is no %s", path, wireName(wrong.Field), wrong.Value, wrong.Type)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if l := &c.Settings.Limits; l.ConnectTimeout <= 0 {
		l.ConnectTimeout = Micros(200 * time.Millisecond / time.Microsecond) // without one nothing would connect
	}
	return c, c.check(path)
}

func (c *Config) check(path string) error {
	bad := badField(path)
	for _, a := range []struct{ field, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := CheckAddr(a.addr); err != nil {
			return bad(a.field, err.Error())
		}
	}
	if c.Admin != "" {
		if err := CheckAddr(c.Admin); err != nil {
			return bad("admin", err.Error())
		}
	}
	switch {
	case c.Limits.Cores < 0 || c.Limits.MemoryMB < 0 || c.Limits.Sockets < 0:
		return bad("limits", "negative")
	case c.Limits.Sockets > 0 && c.Limits.Sockets < 64:
		return bad("limits.sockets", "fewer than 64")
	case len(c.Settings.Classes) == 0:
		return bad("settings.classes", "no class of request")
	}
	names := map[string]bool{}
	for i, class := range c.Settings.Classes {
		field := fmt.Sprintf("settings.classes[%d]", i)
		switch {
		case class.Name == "" || names[class.Name]:
			return bad(field+".name", "absent or given twice")
		case class.Deadline <= 0:
			return bad(field+".deadline", "must be above 0")
		}
		names[class.Name] = true
	}
	if c.Known != nil {
		if err := c.Known.check(); err != nil {
			return bad("known", err.Error())
		}
	}
	return nil
}

// badField words what is wrong with a field of a file.
func badField(path string) func(field, why string) error {
	return func(field, why string) error { return fmt.Errorf("%s: %s: %s", path, field, why) }
}

// wireName turns a path of Go's field names into the file's own.
func wireName(path string) string {
	parts := strings.Split(path, ".")
	for i, p := range parts {
		parts[i] = strings.ToLower(p[:1]) + p[1:]
	}
	return strings.Join(parts, ".")
}

// CheckAddr tells whether an address is host:port with a usable port.
func CheckAddr(addr string) error {
	host, port, err := net.SplitHostPort(addr)
	if err != nil {
		return fmt.Errorf("%q is not host:port", addr)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil || host == "" && n == 0 {
		return fmt.Errorf("%q is not host:port", addr)
	}
	if _, err := url.Parse("http://" + addr); err != nil { // such as a space: nothing could ever be asked there
		return fmt.Errorf("%q is not host:port", addr)
	}
	return nil
}

// SeedNumber gives the seed as a number; one that is not hexadecimal is hashed.
func (c *Config) SeedNumber() uint64 {
	if n, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return n
	}
	return hash(c.Seed)
}

// hash makes a number of a text that has none of its own.
func hash(text string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// Class gives the number of a class of request by its name.
func (p *Params) Class(name string) (int, bool) {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

// LongestDeadline is the longest that a client of any class waits.
func (p *Params) LongestDeadline() (longest time.Duration) {
	for i := range p.Classes {
		longest = max(longest, p.ClassDeadline(i))
	}
	return longest
}

// ClassDeadline is how long a client of the class waits at most.
func (p *Params) ClassDeadline(class int) time.Duration { return p.Classes[class].Deadline.Span() }
