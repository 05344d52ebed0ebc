// Package check validates service files. One run reports all faults of all
// files.
package check

import (
	"encoding/hex"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/conf/jsonc"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

// Suffix is the file name suffix of service files.
const Suffix = ".service.jsonc"

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Result is the outcome of one validation.
type Result struct {
	Merged spec.File // of the files that could be parsed
	Files  int       // number of files
	Faults []jsonc.Fault
}

// Paths validates the given files, and the service files below the given
// folders. It returns an error only if a path cannot be read.
func Paths(paths []string) (Result, error) {
	var names []string
	for _, p := range paths {
		found, err := expand(p)
		if err != nil {
			return Result{}, fmt.Errorf("read service files: %w", err)
		}
		names = append(names, found...)
	}
	names = lo.Uniq(names)
	sources := make([]source, 0, len(names))
	for _, name := range names {
		src, err := os.ReadFile(name)
		if err != nil {
			return Result{}, fmt.Errorf("read service files: %w", err)
		}
		sources = append(sources, load(name, src))
	}
	return validate(sources), nil
}

// Bytes validates one file from memory.
func Bytes(name string, src []byte) Result { return validate([]source{load(name, src)}) }

func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var names []string
	err = filepath.WalkDir(path, func(name string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(name, Suffix) {
			names = append(names, name)
		}
		return err
	})
	return names, err
}

type source struct {
	file *jsonc.File
	spec spec.File
	ok   bool // parsed without faults
}

func load(name string, src []byte) source {
	var s source
	s.file = jsonc.Parse(name, src, &s.spec)
	s.ok = len(s.file.Faults()) == 0
	return s
}

// validate checks all files together, since a file may refer to names that
// another one defines.
func validate(sources []source) Result {
	var res Result
	res.Files = len(sources)
	for _, s := range sources {
		if s.ok {
			res.Merged = res.Merged.Merge(s.spec)
		}
	}
	names := definedNames(res.Merged)
	seen := map[string]bool{} // kind/name of the names defined so far
	for _, s := range sources {
		if s.ok {
			c := checker{file: s.file, defined: names, seen: seen}
			c.dataCentres(s.spec.DataCentres)
			c.services(s.spec.Services)
			c.workspaces(s.spec.Workspaces)
		}
		res.Faults = append(res.Faults, s.file.Faults()...)
	}
	return res
}

type nameLists struct {
	services    []string
	dataCentres []string
}

func definedNames(f spec.File) nameLists {
	return nameLists{
		services:    lo.Map(f.Services, func(s spec.Service, _ int) string { return s.Name }),
		dataCentres: lo.Map(f.DataCentres, func(d spec.DataCentre, _ int) string { return d.Name }),
	}
}

type checker struct {
	file    *jsonc.File
	defined nameLists
	seen    map[string]bool
}

func (c *checker) name(path, what, name string) {
	if !namePattern.MatchString(name) {
		c.file.AddFault(path+".name", "%s name %q must be 1 to 63 lower-case letters, digits and dashes", what, name)
		return
	}
	c.unique(path+".name", what, name)
}

func (c *checker) unique(path, what, name string) {
	key := what + "/" + name
	if c.seen[key] {
		c.file.AddFault(path, "%s %q is defined twice", what, name)
	}
	c.seen[key] = true
}

func (c *checker) exists(path, what, name string, names []string) {
	if !slices.Contains(names, name) {
		c.file.AddFault(path, "%s %q does not exist%s", what, name, jsonc.Suggest(name, names))
	}
}

func (c *checker) inRange(path string, v, low, high int) {
	if v < low || v > high {
		c.file.AddFault(path, "%d is out of range %d to %d", v, low, high)
	}
}

func (c *checker) oneOf(path, value string, allowed ...string) {
	if slices.Contains(allowed, value) {
		return
	}
	c.file.AddFault(path, "%q is not one of %s%s", value, strings.Join(allowed, ", "), jsonc.Suggest(value, allowed))
}

func (c *checker) dataCentres(list []spec.DataCentre) {
	for i, d := range list {
		path := fmt.Sprintf("data_centres[%d]", i)
		c.name(path, "data centre", d.Name)
		if !namePattern.MatchString(d.Region) {
			c.file.AddFault(path+".region", "region name %q must be 1 to 63 lower-case letters, digits and dashes", d.Region)
		}
	}
}

func (c *checker) services(list []spec.Service) {
	for i, s := range list {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path, "service", s.Name)
		c.oneOf(path+".kind", string(s.Kind), string(spec.KindModel), string(spec.KindPlain))
		if s.Delivery != "" {
			c.oneOf(path+".delivery", string(s.Delivery), string(spec.DeliveryStream), string(spec.DeliveryWhole))
		}
		c.inRange(path+".key_horizon_seconds", s.KeyHorizonSecs, 0, 86_400)
		c.inRange(path+".max_body_bytes", s.MaxBodyBytes, 0, 64<<20)
		c.inRange(path+".deadline_seconds", s.DeadlineSecs, 0, 86_400)
		c.inRange(path+".floor", s.Floor, 0, 1024)
		c.inRange(path+".max_concurrency", s.MaxConcurrency, 0, 4096)
		c.inRange(path+".copies", s.Copies, 0, 100_000)
		c.inRange(path+".load_spacing_ms", s.LoadSpacingMs, 0, 600_000)
		c.inRange(path+".warm_up_work", s.WarmUpWork, 0, 100_000_000)
		if s.FloorOrDefault() > s.ConcurrencyOrDefault() {
			c.file.AddFault(path+".floor", "floor %d exceeds max_concurrency %d", s.FloorOrDefault(), s.ConcurrencyOrDefault())
		}
		c.serviceDetails(path, s)
	}
}

func (c *checker) serviceDetails(path string, s spec.Service) {
	switch s.Kind {
	case spec.KindModel:
		if len(s.Models) == 0 {
			c.file.AddFault(path, "model service %q names no models", s.Name)
		}
		if len(s.NoRepeat) > 0 {
			c.file.AddFault(path+".no_repeat", "no_repeat applies to plain services only")
		}
	case spec.KindPlain:
		if len(s.Models) > 0 {
			c.file.AddFault(path+".models", "models apply to model services only")
		}
		if len(s.Classes) > 0 {
			c.file.AddFault(path+".classes", "classes apply to model services only")
		}
	}
	for j, d := range s.DataCentres {
		c.exists(fmt.Sprintf("%s.data_centres[%d]", path, j), "data centre", d, c.defined.dataCentres)
	}
	for j, m := range s.Models {
		c.unique(fmt.Sprintf("%s.models[%d]", path, j), "model", m)
	}
	for j, cl := range s.Classes {
		classPath := fmt.Sprintf("%s.classes[%d]", path, j)
		c.inRange(classPath+".max_tokens", cl.MaxTokens, 0, 1_000_000)
		c.inRange(classPath+".queue_ms", cl.QueueMs, 0, 600_000)
		c.inRange(classPath+".priority", cl.Priority, -1000, 1000)
		if cl.Name == "" {
			c.file.AddFault(classPath, "class has no name")
		}
	}
	for j, r := range s.NoRepeat {
		c.noRepeat(fmt.Sprintf("%s.no_repeat[%d]", path, j), r)
	}
}

func (c *checker) noRepeat(path string, r spec.NoRepeat) {
	if len(r.Methods) == 0 {
		c.file.AddFault(path, "rule names no methods")
	}
	for k, m := range r.Methods {
		c.oneOf(fmt.Sprintf("%s.methods[%d]", path, k), m, "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
	}
	if !strings.HasPrefix(r.Path, "/") {
		c.file.AddFault(path+".path", "path pattern %q must begin with /", r.Path)
	}
	if i := strings.Index(r.Path, "**"); i >= 0 && i != len(r.Path)-2 {
		c.file.AddFault(path+".path", "** may only end the pattern %q", r.Path)
	}
}

func (c *checker) workspaces(list []spec.Workspace) {
	for i, w := range list {
		path := fmt.Sprintf("workspaces[%d]", i)
		c.name(path, "workspace", w.Name)
		if raw, err := hex.DecodeString(w.KeySHA256); err != nil || len(raw) != 32 {
			c.file.AddFault(path+".key_sha256", "expected 64 hexadecimal digits")
		} else {
			c.unique(path+".key_sha256", "workspace key", strings.ToLower(w.KeySHA256))
		}
		c.inRange(path+".weight", w.Weight, 0, 10_000)
		if w.PerSecond < 0 || w.TokensPS < 0 {
			c.file.AddFault(path, "limits must be at least 0")
		}
		for j, s := range w.Services {
			c.exists(fmt.Sprintf("%s.services[%d]", path, j), "service", s, c.defined.services)
		}
	}
}
