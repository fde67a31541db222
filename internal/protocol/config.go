// Package protocol holds the messages of both fronts, of endpoints and of discovery. Each is decoded
// into a small typed value once and encoded once; nothing here opens a socket.
package protocol

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"maps"
	"net"
	"net/url"
	"os"
	"slices"
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
	Settings  Settings

	raw map[string]any // the file as it is
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
	if err := json.Unmarshal(text, &c.raw); err != nil {
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
	case c.Settings.Limits.MaxAttempts < 0 || c.Settings.Limits.MaxAttempts == 0 && has(c.raw, "settings", "limits", "maxAttempts"):
		return bad("settings.limits.maxAttempts", "must be above 0")
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
		if err := c.Known.Check(); err != nil {
			return bad("known", err.Error())
		}
	}
	return nil
}

// has tells whether there is such a key.
func has(o map[string]any, path ...string) bool {
	v, ok := o[path[0]]
	if len(path) == 1 || !ok {
		return ok
	}
	inner, ok := v.(map[string]any)
	return ok && has(inner, path[1:]...)
}

// Follows tells whether this file may take the place of another while the program runs. It must be whole: what the
// other says and this one does not was lost on the way, and no default may stand in for it.
func (c *Config) Follows(old *Config) error {
	was, is := maps.Clone(old.raw), c.raw
	delete(was, "known") // counts at a start only
	if err := missing("", was, is); err != nil {
		return err
	}
	first, _ := was["settings"].(map[string]any)
	next, _ := is["settings"].(map[string]any)
	keys := classKeys(first["classes"])
	for i, class := range classesOf(next["classes"]) {
		for _, key := range keys {
			_, ok := class[key]
			if forKeyed := key == "window" || key == "dedupScope"; !ok && (!forKeyed || class["effect"] == "keyed") {
				return fmt.Errorf("settings.classes[%d].%s: absent", i, key)
			}
		}
	}
	return nil
}

// missing names a key that one object has and another lacks.
func missing(path string, was, is map[string]any) error {
	for _, key := range slices.Sorted(maps.Keys(was)) {
		v, ok := is[key]
		if !ok || v == nil && was[key] != nil {
			return fmt.Errorf("%s%s: absent", path, key)
		}
		if inner, ok := was[key].(map[string]any); ok {
			now, ok := v.(map[string]any)
			if !ok {
				return fmt.Errorf("%s%s: no object", path, key)
			}
			if err := missing(path+key+".", inner, now); err != nil {
				return err
			}
		}
	}
	return nil
}

func classesOf(v any) (classes []map[string]any) {
	list, _ := v.([]any)
	for _, c := range list {
		o, _ := c.(map[string]any)
		classes = append(classes, o)
	}
	return classes
}

// classKeys gives the keys that all classes have.
func classKeys(v any) (keys []string) {
	for i, class := range classesOf(v) {
		if i == 0 {
			keys = slices.Sorted(maps.Keys(class))
		}
		keys = slices.DeleteFunc(keys, func(key string) bool { _, ok := class[key]; return !ok })
	}
	return keys
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
func (p *Settings) Class(name string) (int, bool) {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

// HasClass tells whether there is such a class.
func (p *Settings) HasClass(name string) bool {
	_, ok := p.Class(name)
	return ok
}

// LongestDeadline is the longest that a client of any class waits.
func (p *Settings) LongestDeadline() (longest time.Duration) {
	for i := range p.Classes {
		longest = max(longest, p.ClassDeadline(i))
	}
	return longest
}

// ClassDeadline is how long a client of the class waits at most.
func (p *Settings) ClassDeadline(class int) time.Duration {
	return p.Classes[class].Deadline.Duration()
}
