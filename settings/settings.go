// Package settings reads the daemons' TOML files. Unknown keys are rejected, and
// all problems of a file are reported together, each with the file, the key, the
// value found and a remedy.
package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"acaciakeel/problem"
	"acaciakeel/vm"
)

// Validator is implemented by settings types that can check their own values.
type Validator interface {
	// Validate adds each problem found to ps. It may also fill in defaults.
	Validate(ps *problem.List)
}

// FileError reports all problems found in one settings file.
type FileError struct {
	File     string
	Problems problem.List
}

// Error implements error, with one problem per line.
func (e *FileError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = fmt.Sprintf("%s: %s", e.File, p)
	}
	return strings.Join(lines, "\n")
}

// Load decodes the TOML file into dst, which holds the defaults, and validates the
// result.
func Load(file string, dst Validator) error {
	meta, err := toml.DecodeFile(file, dst)
	if err != nil {
		return parseError(file, err)
	}
	var ps problem.List
	for _, key := range meta.Undecoded() {
		ps.Add(key.String(), "remove it or correct its spelling; see the file of this name under examples/", "an unknown key")
	}
	dst.Validate(&ps)
	if len(ps) > 0 {
		return &FileError{File: file, Problems: ps}
	}
	return nil
}

func parseError(file string, err error) error {
	var parse toml.ParseError
	if !errors.As(err, &parse) {
		return fmt.Errorf("read settings: %w; give the file with -c", err)
	}
	field := fmt.Sprintf("line %d", parse.Position.Line)
	if parse.LastKey != "" {
		field += ", key " + parse.LastKey
	}
	return &FileError{File: file, Problems: problem.List{{
		Field:  field,
		Found:  parse.Message,
		Remedy: "write the value as in the file of this name under examples/",
	}}}
}

// Self holds the settings that identify a process: its VM, addresses and location.
type Self struct {
	// Name is the VM's name in the platform's list.
	Name string `toml:"name"`
	// Listen is the address that the process serves on, as IP:PORT.
	Listen string `toml:"listen"`
	// URL is the address at which other processes reach it. Default "http://" + Listen.
	URL string `toml:"url"`
	// DataCentre and Region are the location of the VM.
	DataCentre string `toml:"data_centre"`
	Region     string `toml:"region"`
}

// Validate implements Validator.
func (s *Self) Validate(ps *problem.List) {
	if s.Name == "" {
		ps.Add("self.name", "give the VM's name in the platform's list", "nothing")
	}
	CheckAddress(ps, "self.listen", s.Listen)
	if s.URL == "" {
		s.URL = "http://" + s.Listen
	}
	CheckURL(ps, "self.url", s.URL)
	if s.DataCentre == "" {
		ps.Add("self.data_centre", "name the data centre that the VM stands in", "nothing")
	}
}

// VM returns the VM described by the settings, with the given role.
func (s *Self) VM(role vm.Role) vm.VM {
	return vm.VM{
		Name:       s.Name,
		Role:       role,
		DataCentre: vm.DataCentre{Name: s.DataCentre, Region: s.Region},
		URL:        s.URL,
	}
}

// Platform holds the addresses at which a process reaches the platform's service.
type Platform struct {
	// URL is the base URL of the key-value service and of the list of VMs.
	URL string `toml:"url"`
	// Neighbours are the URLs of a few other processes of the system, from which a
	// starting process obtains its configuration while the service is down.
	Neighbours []string `toml:"neighbours"`
}

// Validate implements Validator.
func (p *Platform) Validate(ps *problem.List) {
	CheckURL(ps, "platform.url", p.URL)
	for _, neighbour := range p.Neighbours {
		CheckURL(ps, "platform.neighbours", neighbour)
	}
}

// Log holds the logging settings of a daemon.
type Log struct {
	// Level is debug, info, warning or error. Default info.
	Level string `toml:"level"`
}

// levels are the accepted values of Log.Level; empty selects the default.
var levels = []string{"", "debug", "info", "warning", "error"}

// Validate implements Validator.
func (l *Log) Validate(ps *problem.List) {
	for _, level := range levels {
		if l.Level == level {
			return
		}
	}
	ps.Add("log.level", "use debug, info, warning or error", "%q", l.Level)
}

// CheckAddress adds a problem unless value is IP:PORT.
func CheckAddress(ps *problem.List, field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		ps.Add(field, "use IP:PORT, such as 10.0.0.7:4100", "%q", value)
	}
}

// CheckURL adds a problem unless value is an http or https URL with a host.
func CheckURL(ps *problem.List, field, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		ps.Add(field, "use http://IP:PORT", "%q", value)
	}
}

// CheckPositive adds a problem unless value is greater than 0.
func CheckPositive(ps *problem.List, field string, value float64) {
	if value <= 0 {
		ps.Add(field, "use a number above 0, or leave it out for the default", "%v", value)
	}
}

// Millis converts a setting in milliseconds to a duration.
func Millis(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
