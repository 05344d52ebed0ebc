// Package setup loads and validates the settings of one process: its addresses,
// its data centre, the addresses of the platform, and timeouts. Settings are
// JSON with comments; command-line flags override them.
package setup

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/mimosalock/mimosalock/internal/call/guard"
	"github.com/mimosalock/mimosalock/internal/conf/jsonc"
)

// Settings is the content of a settings file. Fields that end in Ms are in
// milliseconds.
type Settings struct {
	Host       string `json:"host"`        // name of this host in the host list
	DataCentre string `json:"data_centre"` // name of the data centre in the configuration
	Peer       string `json:"peer"`        // IP:port that serves other processes
	Listen     string `json:"listen"`      // IP:port that serves callers (entry)
	Admin      string `json:"admin"`       // IP:port that serves status and metrics
	Service    string `json:"service"`     // service of the endpoint (agent)
	Endpoint   string `json:"endpoint"`    // IP:port of the endpoint (agent)
	Platform   string `json:"platform"`    // IP:port of the configuration service
	HostList   string `json:"host_list"`   // IP:port of the host list service, by default the platform
	LogLevel   string `json:"log_level"`
	TLS        TLS    `json:"tls"`

	DrainLimitMs     int  `json:"drain_limit_ms"`     // maximum duration of a graceful stop
	OrphanMs         int  `json:"orphan_ms"`          // a generation whose response nobody reads is cancelled after this
	KeepFinishedMs   int  `json:"keep_finished_ms"`   // a finished response can be resumed for this long
	BufferBytes      int  `json:"buffer_bytes"`       // limit on all buffered responses (agent)
	SlowCallerMs     int  `json:"slow_caller_ms"`     // a caller that reads nothing for this long is disconnected
	SilenceMs        int  `json:"silence_ms"`         // a peer that sends nothing for this long is considered lost
	HostWatchMs      int  `json:"host_watch_ms"`      // maximum wait for a change of the host list
	MaxFDs           int  `json:"max_fds"`            // descriptors that the process may have open
	MemoryMB         int  `json:"memory_mb"`          // memory that the process may hold, in MB
	ConfigReaders    int  `json:"config_readers"`     // processes per data centre that read the configuration service
	TrustWarmRestart bool `json:"trust_warm_restart"` // skip the warm-up of endpoints (only for tests of the request path)
}

// TLS contains the paths of PEM files for mutual TLS between processes.
type TLS struct {
	CA   string `json:"ca"`
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Role is the function of a process.
type Role string

// The roles.
const (
	RoleEntry Role = "entry" // accepts calls from callers
	RoleAgent Role = "agent" // runs calls on one endpoint
)

// Defaults returns the settings that apply where a file sets nothing.
func Defaults() Settings {
	return Settings{
		LogLevel:       "info",
		DrainLimitMs:   300_000,
		OrphanMs:       15_000,
		KeepFinishedMs: 30_000,
		BufferBytes:    64 << 20,
		SlowCallerMs:   30_000,
		SilenceMs:      3_000,
		HostWatchMs:    10_000,
		ConfigReaders:  2,
		MaxFDs:         4096,
		MemoryMB:       256, // the target for a process
	}
}

// Load reads a settings file and fills in defaults. It does not validate.
func Load(path string) (Settings, *jsonc.File, error) {
	src, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, nil, fmt.Errorf("settings: %w", err)
	}
	s := Defaults()
	file := jsonc.Parse(path, src, &s)
	return s, file, nil
}

// Validate checks all settings for a role. It returns all faults joined, each
// with its position in the file.
func (s Settings) Validate(role Role, file *jsonc.File) error {
	v := validator{file: file}
	v.name("host", s.Host)
	v.name("data_centre", s.DataCentre)
	v.address("peer", s.Peer)
	v.address("admin", s.Admin)
	v.address("platform", s.Platform)
	if s.HostList != "" {
		v.address("host_list", s.HostList)
	}
	switch role {
	case RoleEntry:
		v.address("listen", s.Listen)
	case RoleAgent:
		v.name("service", s.Service)
		v.address("endpoint", s.Endpoint)
	}
	v.atLeast("drain_limit_ms", s.DrainLimitMs, 1)
	v.atLeast("orphan_ms", s.OrphanMs, 100)
	v.atLeast("keep_finished_ms", s.KeepFinishedMs, 0)
	v.atLeast("buffer_bytes", s.BufferBytes, 1<<16)
	v.atLeast("slow_caller_ms", s.SlowCallerMs, 100)
	v.atLeast("silence_ms", s.SilenceMs, 100)
	v.atLeast("host_watch_ms", s.HostWatchMs, 10)
	v.atLeast("config_readers", s.ConfigReaders, 1)
	v.atLeast("max_fds", s.MaxFDs, guard.MinFDs)
	v.atLeast("memory_mb", s.MemoryMB, minMemoryMB)
	s.validateTLS(&v)
	faults := file.Faults()
	errs := make([]error, len(faults))
	for i, f := range faults {
		errs[i] = errors.New(f.String())
	}
	return errors.Join(errs...)
}

func (s Settings) validateTLS(v *validator) {
	given := 0
	for _, p := range []string{s.TLS.CA, s.TLS.Cert, s.TLS.Key} {
		if p != "" {
			given++
		}
	}
	switch {
	case given == 3:
	case given > 0:
		v.file.AddFault("tls", "ca, cert and key must be given together")
	case !Loopback(s.Peer) && s.Peer != "":
		v.file.AddFault("peer", "peer address %s is not loopback, so tls keys are required", s.Peer)
	}
}

// Loopback reports whether the IP of an IP:port is a loopback address.
func Loopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

// SilenceTimeout returns the time after which a peer that sends nothing is considered
// lost.
func (s Settings) SilenceTimeout() time.Duration { return ms(s.SilenceMs) }

// OrphanTimeout returns the time after which a generation whose response nobody reads
// is cancelled.
func (s Settings) OrphanTimeout() time.Duration { return ms(s.OrphanMs) }

// FinishedRetention returns how long a finished response can be resumed.
func (s Settings) FinishedRetention() time.Duration { return ms(s.KeepFinishedMs) }

// SlowCallerTimeout returns the time after which a caller that reads nothing is
// disconnected.
func (s Settings) SlowCallerTimeout() time.Duration { return ms(s.SlowCallerMs) }

// DrainLimit returns the maximum duration of a graceful stop.
func (s Settings) DrainLimit() time.Duration { return ms(s.DrainLimitMs) }

// HostWatchTimeout returns the maximum wait for a change of the host list.
func (s Settings) HostWatchTimeout() time.Duration { return ms(s.HostWatchMs) }

// HostListAddr returns the address of the host list service.
func (s Settings) HostListAddr() string {
	if s.HostList != "" {
		return s.HostList
	}
	return s.Platform
}

func ms(v int) time.Duration { return time.Duration(v) * time.Millisecond }

type validator struct{ file *jsonc.File }

func (v *validator) name(field, value string) {
	if value == "" {
		v.file.AddFault(field, "%s is required", field)
	} else if strings.ContainsAny(value, "./ \t") {
		v.file.AddFault(field, "%s %q must not contain dots, slashes or spaces", field, value)
	}
}

func (v *validator) address(field, value string) {
	host, _, err := net.SplitHostPort(value)
	if value == "" {
		v.file.AddFault(field, "%s is required", field)
	} else if err != nil || net.ParseIP(host) == nil {
		v.file.AddFault(field, "%s %q must be an IP address and a port", field, value)
	}
}

func (v *validator) atLeast(field string, value, low int) {
	if value < low {
		v.file.AddFault(field, "%s is %d, must be at least %d", field, value, low)
	}
}
