package cmds

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"github.com/mimosalock/mimosalock/internal/conf/jsonc"
	"github.com/mimosalock/mimosalock/internal/conf/setup"
	"github.com/mimosalock/mimosalock/internal/node/agent"
	"github.com/mimosalock/mimosalock/internal/node/entry"
	"github.com/mimosalock/mimosalock/internal/ops/logs"
)

// processOptions are the flags of entries and agents. A flag that is given overrides
// the settings file.
type processOptions struct {
	Settings   string `long:"settings" description:"settings file, JSON with comments"`
	Host       string `long:"host" description:"name of this process in the host list"`
	DataCentre string `long:"data-centre" description:"name of the data centre"`
	Peer       string `long:"peer" description:"IP:port to listen on for other processes"`
	Admin      string `long:"admin" description:"IP:port to listen on for status, metrics and audit"`
	Platform   string `long:"platform" description:"IP:port of the configuration service"`
	HostList   string `long:"host-list" description:"IP:port of the host list service, by default the platform"`
	LogLevel   string `long:"log-level" description:"debug, info, warn or error"`
}

// loadSettings reads the settings file, applies the flags and validates the result
// for the role. The function applyFlags applies the flags of one role.
func (o *processOptions) loadSettings(role setup.Role, applyFlags func(s *setup.Settings)) (setup.Settings, error) {
	s := setup.Defaults()
	file := jsonc.Parse("flags", []byte("{}"), &struct{}{})
	if o.Settings != "" {
		var err error
		if s, file, err = setup.Load(o.Settings); err != nil {
			return s, err
		}
	}
	override(&s.Host, o.Host)
	override(&s.DataCentre, o.DataCentre)
	override(&s.Peer, o.Peer)
	override(&s.Admin, o.Admin)
	override(&s.Platform, o.Platform)
	override(&s.HostList, o.HostList)
	override(&s.LogLevel, o.LogLevel)
	applyFlags(&s)
	return s, s.Validate(role, file)
}

func override(field *string, value string) {
	if value != "" {
		*field = value
	}
}

type entryCommand struct {
	processOptions
	Listen string `long:"listen" description:"IP:port to listen on for callers"`
	env    *environment
}

// Execute runs the entry until a signal, then drains it.
func (c *entryCommand) Execute([]string) error {
	s, err := c.loadSettings(setup.RoleEntry, func(s *setup.Settings) { override(&s.Listen, c.Listen) })
	if err != nil {
		return err
	}
	return c.env.runProcess(s, func(log *zap.Logger) (process, error) { return entry.New(s, log) })
}

type agentCommand struct {
	processOptions
	Service  string `long:"service" description:"service that the endpoint belongs to"`
	Endpoint string `long:"endpoint" description:"IP:port of the endpoint"`
	env      *environment
}

// Execute runs the agent until a signal, then drains it.
func (c *agentCommand) Execute([]string) error {
	s, err := c.loadSettings(setup.RoleAgent, func(s *setup.Settings) {
		override(&s.Service, c.Service)
		override(&s.Endpoint, c.Endpoint)
	})
	if err != nil {
		return err
	}
	return c.env.runProcess(s, func(log *zap.Logger) (process, error) { return agent.New(s, log) })
}

// process is a running entry or agent.
type process interface {
	Drain() bool
	Stop()
}

// runProcess starts a process, waits for a signal and drains it.
func (e *environment) runProcess(s setup.Settings, start func(*zap.Logger) (process, error)) error {
	log, err := logs.New(e.stderr, s.LogLevel)
	if err != nil {
		return err
	}
	zap.ReplaceGlobals(log)
	debug.SetMemoryLimit(s.SoftMemoryLimit())
	ctx, stop := signalContext()
	defer stop()
	p, err := start(log)
	if err != nil {
		return err
	}
	log.Info("process_started", zap.String("host", s.Host), zap.String("data_centre", s.DataCentre), zap.Int("memory_mb", s.MemoryMB))
	if limit := s.BufferLimit(); limit < s.BufferBytes {
		log.Warn("buffer_bytes_lowered", zap.Int("buffer_bytes", s.BufferBytes), zap.Int("in_use", limit), zap.Int("memory_mb", s.MemoryMB))
	}
	<-ctx.Done()
	stop() // restores the default action, so a second signal kills the process
	log.Info("process_draining", zap.String("host", s.Host))
	clean := p.Drain()
	p.Stop()
	log.Info("process_stopped", zap.String("host", s.Host), zap.Bool("clean", clean))
	if !clean {
		return fmt.Errorf("calls were still in flight at the drain limit and were aborted")
	}
	return nil
}
