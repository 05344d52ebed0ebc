package cmds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/stand/confsv"
	"github.com/mimosalock/mimosalock/internal/stand/engsim"
	"github.com/mimosalock/mimosalock/internal/stand/engsrv"
	"github.com/mimosalock/mimosalock/internal/stand/plain"
	"github.com/mimosalock/mimosalock/internal/stand/wstore"
)

// RunStandin is the command line of standin, which runs fakes of the systems around
// mimosalock. It returns the exit code.
func RunStandin(args []string, stdout, stderr io.Writer) int {
	env := &environment{stdout: stdout, stderr: stderr}
	return runCommand("standin", "standin runs stand-ins (fakes) of engines, services and the platform. Each prints its address and serves until interrupted.", []command{
		{"engine", "Model engine", "Simulates continuous batching with a limited KV cache, preemption, resume and cancel.", &engineCommand{env: env}},
		{"plain", "Plain service", "Echoes calls and counts them by X-Call.", &plainCommand{env: env}},
		{"platform", "Configuration service and host list", "Serves a folder written by publish and a file of host rows.", &platformCommand{env: env}},
		{"weights", "Rate-limited weight store", "Answers 429 above its rate.", &weightsCommand{env: env}},
	}, args, env)
}

type listenOptions struct {
	Listen string `long:"listen" default:"127.0.0.1:0" description:"IP:port to listen on"`
}

// serveUntilSignal prints the address, waits for a signal and calls stop.
func (e *environment) serveUntilSignal(addr string, stop func()) error {
	e.printLine("listen=%s", addr)
	ctx, done := signalContext()
	defer done()
	<-ctx.Done()
	stop()
	return nil
}

type engineCommand struct {
	listenOptions
	Model         string        `long:"model" default:"shellgrit-small" description:"model that the engine has loaded"`
	Seed          uint64        `long:"seed" default:"1" description:"random seed of the output lengths"`
	Batch         int           `long:"batch" default:"64" description:"maximum sequences in one step"`
	Cache         int           `long:"cache" default:"64000" description:"size of the KV cache in tokens"`
	Step          time.Duration `long:"step" default:"8ms" description:"base duration of one step"`
	Warm          bool          `long:"warm" description:"start warm, at full speed and capacity"`
	LoadLag       time.Duration `long:"load-lag" default:"300ms" description:"age of the load report"`
	IgnoreFencing bool          `long:"ignore-fencing" description:"accept model orders with an outdated fencing number"`
	env           *environment
}

// Execute runs the engine until a signal.
func (c *engineCommand) Execute([]string) error {
	cfg := engsim.Default()
	cfg.MaxBatch, cfg.CacheTokens, cfg.StepBase = c.Batch, c.Cache, c.Step
	s, err := engsrv.New(c.Listen, engsrv.Config{
		Model: c.Model, Engine: cfg, Seed: c.Seed, Warm: c.Warm, LoadLag: c.LoadLag, IgnoreFencing: c.IgnoreFencing,
	})
	if err != nil {
		return err
	}
	return c.env.serveUntilSignal(s.Addr(), s.Close)
}

type plainCommand struct {
	listenOptions
	Delay time.Duration `long:"delay" description:"duration of each call"`
	env   *environment
}

// Execute runs the service until a signal.
func (c *plainCommand) Execute([]string) error {
	s, err := plain.New(c.Listen)
	if err != nil {
		return err
	}
	s.SetDelay(c.Delay)
	return c.env.serveUntilSignal(s.Addr(), s.Close)
}

type platformCommand struct {
	listenOptions
	Values  string        `long:"values" description:"folder written by publish"`
	Hosts   string        `long:"hosts" description:"JSON file with an array of host rows"`
	HostLag time.Duration `long:"host-lag" description:"delay until a change of the host list becomes visible"`
	Reload  time.Duration `long:"reload" default:"1s" description:"interval for rereading the files"`
	env     *environment
}

// Execute serves the files until a signal and rereads them periodically.
func (c *platformCommand) Execute([]string) error {
	s, err := confsv.New(c.Listen)
	if err != nil {
		return err
	}
	s.SetHostLag(c.HostLag)
	if err := c.loadFiles(s); err != nil {
		return err
	}
	go func() {
		for range time.Tick(c.Reload) {
			if err := c.loadFiles(s); err != nil {
				c.env.printLine("reload: %v", err)
			}
		}
	}()
	return c.env.serveUntilSignal(s.Addr(), s.Close)
}

// loadFiles passes the published values, if the manifest changed, and the host rows
// to the server.
func (c *platformCommand) loadFiles(s *confsv.Server) error {
	if c.Values != "" {
		b, err := bundle.Open(c.Values)
		if err != nil {
			return err
		}
		if b != nil && !bytes.Equal(s.Value("manifest"), b.Raw()) {
			values := map[string][]byte{"manifest": b.Raw()}
			for sum, raw := range b.Shards() {
				values["shards/"+sum] = raw
			}
			s.Put(values)
		}
	}
	if c.Hosts == "" {
		return nil
	}
	raw, err := os.ReadFile(c.Hosts)
	if err != nil {
		return err
	}
	var rows []confsv.HostRow
	if err := json.Unmarshal(raw, &rows); err != nil {
		return fmt.Errorf("%s: %w", c.Hosts, err)
	}
	s.SetHosts(rows)
	return nil
}

type weightsCommand struct {
	listenOptions
	Rate  float64 `long:"rate" default:"1" description:"maximum loads per second"`
	Burst int     `long:"burst" default:"2" description:"maximum burst of loads"`
	env   *environment
}

// Execute runs the store until a signal.
func (c *weightsCommand) Execute([]string) error {
	s, err := wstore.New(c.Listen, c.Rate, c.Burst)
	if err != nil {
		return err
	}
	return c.env.serveUntilSignal(s.Addr(), s.Close)
}
