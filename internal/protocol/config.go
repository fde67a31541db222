// Package protocol defines the messages that the dispatcher exchanges with clients, workers, discovery and a predecessor or successor
// process, and the platform's file with its settings. It is the only package that maps names on the wire to the terms of the program:
// it decodes each message into a typed value, and encodes it from one. It opens no socket.
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

// Config is the platform's file. A key of the file is the field's name with a lower-case first letter, unless a tag names another
// key. Unknown keys are ignored.
type Config struct {
	Name      string // of this dispatcher
	Listen    string // host:port for the requests of clients
	Discovery string // host:port of the discovery service, or of its agent on this machine
	Admin     string // host:port of the admin API; empty for no admin API
	Seed      string // of the random number generator, hexadecimal
	Limits    Limits
	Known     *List // the endpoint list at the start; nil if the file has no list
	Settings  Settings

	raw map[string]any // the parsed file with all its keys
}

// Limits are the resources that a dispatcher may use. A limit of 0 is unknown.
type Limits struct {
	Cores    float64
	MemoryMB int `json:"memory_mb"`
	Sockets  int // file descriptors
}

// minSockets is the smallest number of file descriptors that the program can run with.
const minSockets = 64

// defaultConnectTimeout applies if the settings have no ConnectTimeout: with a timeout of 0 no connection could be opened.
const defaultConnectTimeout = 200 * time.Millisecond

// LoadConfig reads and checks the platform's file. If the file lacks the name or an address, LoadConfig reads it from the
// environment with the function env. An error names the invalid field.
func LoadConfig(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, fmt.Errorf("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	config := &Config{Name: env("GW_NAME"), Listen: env("GW_LISTEN"), Discovery: env("GW_DISCOVERY"), Admin: env("GW_ADMIN")}
	if err := json.Unmarshal(text, config); err != nil {
		if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
			return nil, fmt.Errorf("%s: %s: got %s, expected %s", path, wireName(wrong.Field), wrong.Value, wrong.Type)
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := json.Unmarshal(text, &config.raw); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if limits := &config.Settings.Limits; limits.ConnectTimeout <= 0 {
		limits.ConnectTimeout = Micros(defaultConnectTimeout / time.Microsecond)
	}
	return config, config.check(path)
}

// check returns an error that names the first field with an invalid value.
func (c *Config) check(path string) error {
	bad := badField(path)
	for _, required := range []struct{ field, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := CheckAddr(required.address); err != nil {
			return bad(required.field, err.Error())
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
	case c.Limits.Sockets > 0 && c.Limits.Sockets < minSockets:
		return bad("limits.sockets", "fewer than 64")
	case c.Settings.Limits.MaxAttempts < 0 || c.Settings.Limits.MaxAttempts == 0 && hasKey(c.raw, "settings", "limits", "maxAttempts"):
		return bad("settings.limits.maxAttempts", "must be above 0")
	case len(c.Settings.Classes) == 0:
		return bad("settings.classes", "must have at least one class")
	}
	if err := c.checkClasses(bad); err != nil {
		return err
	}
	if c.Known != nil {
		if err := c.Known.Check(); err != nil {
			return bad("known", err.Error())
		}
	}
	return nil
}

// checkClasses returns an error for the first invalid class of the settings.
func (c *Config) checkClasses(bad func(field, reason string) error) error {
	names := map[string]bool{}
	for i, class := range c.Settings.Classes {
		field := fmt.Sprintf("settings.classes[%d]", i)
		switch {
		case class.Name == "" || names[class.Name]:
			return bad(field+".name", "absent or a duplicate")
		case class.Deadline <= 0:
			return bad(field+".deadline", "must be above 0")
		}
		names[class.Name] = true
	}
	return nil
}

// hasKey reports whether a JSON object contains the key at the end of a path of keys.
func hasKey(object map[string]any, path ...string) bool {
	value, ok := object[path[0]]
	if len(path) == 1 || !ok {
		return ok
	}
	inner, ok := value.(map[string]any)
	return ok && hasKey(inner, path[1:]...)
}

// CheckReplaces returns an error if this file must not replace the old file while the program runs, because it lacks a key of the
// old file. A missing key counts as lost, so its value must not fall back to a default.
func (c *Config) CheckReplaces(old *Config) error {
	before, after := maps.Clone(old.raw), c.raw
	delete(before, "known") // used only at startup
	if err := checkKeys("", before, after); err != nil {
		return err
	}
	settingsBefore, _ := before["settings"].(map[string]any)
	settingsAfter, _ := after["settings"].(map[string]any)
	keys := classKeys(settingsBefore["classes"])
	for i, class := range classObjects(settingsAfter["classes"]) {
		for _, key := range keys {
			_, ok := class[key]
			if keyedOnly := key == "window" || key == "dedupScope"; !ok && (!keyedOnly || class["effect"] == effectKeyed) {
				return fmt.Errorf("settings.classes[%d].%s: absent", i, key)
			}
		}
	}
	return nil
}

// checkKeys returns an error that names the first key that is in the map before and missing in the map after. The parameter path is
// the prefix of the keys in the error.
func checkKeys(path string, before, after map[string]any) error {
	for _, key := range slices.Sorted(maps.Keys(before)) {
		value, ok := after[key]
		if !ok || value == nil && before[key] != nil {
			return fmt.Errorf("%s%s: absent", path, key)
		}
		innerBefore, ok := before[key].(map[string]any)
		if !ok {
			continue
		}
		innerAfter, ok := value.(map[string]any)
		if !ok {
			return fmt.Errorf("%s%s: not an object", path, key)
		}
		if err := checkKeys(path+key+".", innerBefore, innerAfter); err != nil {
			return err
		}
	}
	return nil
}

// classObjects returns the objects of an array; nil for an element that is not an object.
func classObjects(array any) (objects []map[string]any) {
	elements, _ := array.([]any)
	for _, element := range elements {
		object, _ := element.(map[string]any)
		objects = append(objects, object)
	}
	return objects
}

// classKeys returns the keys that all classes of an array have.
func classKeys(array any) (keys []string) {
	for i, class := range classObjects(array) {
		if i == 0 {
			keys = slices.Sorted(maps.Keys(class))
		}
		keys = slices.DeleteFunc(keys, func(key string) bool { _, ok := class[key]; return !ok })
	}
	return keys
}

// badField returns a function that returns the error for an invalid field of a file.
func badField(path string) func(field, reason string) error {
	return func(field, reason string) error { return fmt.Errorf("%s: %s: %s", path, field, reason) }
}

// wireName converts a path of Go field names to the keys of the file.
func wireName(path string) string {
	parts := strings.Split(path, ".")
	for i, part := range parts {
		parts[i] = strings.ToLower(part[:1]) + part[1:]
	}
	return strings.Join(parts, ".")
}

// CheckAddr returns an error if an address is not host:port with a usable port.
func CheckAddr(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%q is not host:port", address)
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || host == "" && number == 0 {
		return fmt.Errorf("%q is not host:port", address)
	}
	if _, err := url.Parse("http://" + address); err != nil { // for example a space in the host: no request could be sent to it
		return fmt.Errorf("%q is not host:port", address)
	}
	return nil
}

// SeedNumber returns the seed as a number. A seed that is not hexadecimal is hashed.
func (c *Config) SeedNumber() uint64 {
	if number, err := strconv.ParseUint(c.Seed, 16, 64); err == nil {
		return number
	}
	return hash(c.Seed)
}

// hash returns the 64-bit FNV-1a hash of a text.
func hash(text string) uint64 {
	sum := fnv.New64a()
	sum.Write([]byte(text))
	return sum.Sum64()
}
