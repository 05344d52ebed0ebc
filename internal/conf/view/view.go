// Package view indexes a configuration version for lookups by data centre,
// service, model and workspace key.
package view

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/mimosalock/mimosalock/internal/conf/bundle"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

// View is one indexed configuration version. It is immutable and safe for
// concurrent use.
type View struct {
	bundle          *bundle.Bundle
	services        map[string]spec.Service
	models          map[string]string // model name to service name
	dataCentres     map[string]spec.DataCentre
	workspaceShards []shardIndex
}

// shardIndex indexes the workspaces of one shard. Successive views share the
// indexes of shards that did not change.
type shardIndex struct {
	hash       string                               // of the shard's bytes
	workspaces map[[sha256.Size]byte]spec.Workspace // by the SHA-256 of the key
}

// New indexes a bundle. It reuses the indexes of the previous view, which may
// be nil, for shards that did not change.
func New(b *bundle.Bundle, previous *View) (*View, error) {
	v := &View{
		bundle: b, services: map[string]spec.Service{}, models: map[string]string{}, dataCentres: map[string]spec.DataCentre{},
	}
	shards := b.Manifest().Shards
	var fleet spec.File
	if err := json.Unmarshal(b.Shard(shards[0].SHA256), &fleet); err != nil {
		return nil, fmt.Errorf("view: fleet shard of version %d: %w", b.Version(), err)
	}
	for _, s := range fleet.Services {
		v.services[s.Name] = s
		for _, m := range s.Models {
			v.models[m] = s.Name
		}
	}
	for _, d := range fleet.DataCentres {
		v.dataCentres[d.Name] = d
	}
	old := previous.shardsByHash()
	for _, s := range shards[1:] {
		raw := b.Shard(s.SHA256)
		if raw == nil {
			continue // this process stores the fleet shard only
		}
		p, ok := old[s.SHA256]
		if !ok {
			var err error
			if p, err = newShardIndex(s.SHA256, raw); err != nil {
				return nil, fmt.Errorf("view: workspace shard of version %d: %w", b.Version(), err)
			}
		}
		v.workspaceShards = append(v.workspaceShards, p)
	}
	return v, nil
}

func newShardIndex(hash string, raw []byte) (shardIndex, error) {
	var f spec.File
	if err := json.Unmarshal(raw, &f); err != nil {
		return shardIndex{}, err
	}
	p := shardIndex{hash: hash, workspaces: make(map[[sha256.Size]byte]spec.Workspace, len(f.Workspaces))}
	for _, w := range f.Workspaces {
		var key [sha256.Size]byte
		if _, err := hex.Decode(key[:], []byte(w.KeySHA256)); err != nil {
			return shardIndex{}, fmt.Errorf("workspace %q: key hash: %w", w.Name, err)
		}
		p.workspaces[key] = w
	}
	return p, nil
}

func (v *View) shardsByHash() map[string]shardIndex {
	out := map[string]shardIndex{}
	if v == nil {
		return out
	}
	for _, p := range v.workspaceShards {
		out[p.hash] = p
	}
	return out
}

// Version returns the version number, 0 for a nil view.
func (v *View) Version() uint64 {
	if v == nil {
		return 0
	}
	return v.bundle.Version()
}

// Bundle returns the bundle that was indexed.
func (v *View) Bundle() *bundle.Bundle { return v.bundle }

// Service returns a service by name.
func (v *View) Service(name string) (spec.Service, bool) {
	if v == nil {
		return spec.Service{}, false
	}
	s, ok := v.services[name]
	return s, ok
}

// ServiceOfModel returns the service that serves a model.
func (v *View) ServiceOfModel(model string) (spec.Service, bool) {
	if v == nil {
		return spec.Service{}, false
	}
	return v.Service(v.models[model])
}

// Services returns all services by name. The map must not be changed.
func (v *View) Services() map[string]spec.Service {
	if v == nil {
		return nil
	}
	return v.services
}

// DataCentre returns a data centre by name.
func (v *View) DataCentre(name string) (spec.DataCentre, bool) {
	if v == nil {
		return spec.DataCentre{}, false
	}
	d, ok := v.dataCentres[name]
	return d, ok
}

// DataCentres returns all data centres by name. The map must not be changed.
func (v *View) DataCentres() map[string]spec.DataCentre {
	if v == nil {
		return nil
	}
	return v.dataCentres
}

// InService reports whether a data centre may get new work. An unknown data
// centre may not.
func (v *View) InService(name string) bool {
	d, ok := v.DataCentre(name)
	return ok && !d.OutOfService
}

// Workspace returns the workspace that a caller's bearer key belongs to.
func (v *View) Workspace(key string) (spec.Workspace, bool) {
	if v == nil {
		return spec.Workspace{}, false
	}
	sum := sha256.Sum256([]byte(key))
	for _, p := range v.workspaceShards {
		if w, ok := p.workspaces[sum]; ok {
			return w, true
		}
	}
	return spec.Workspace{}, false
}

// WorkspaceNamed returns a workspace by name. It looks at all keys: calls use Workspace.
func (v *View) WorkspaceNamed(name string) (spec.Workspace, bool) {
	if v == nil {
		return spec.Workspace{}, false
	}
	for _, p := range v.workspaceShards {
		for _, w := range p.workspaces {
			if w.Name == name {
				return w, true
			}
		}
	}
	return spec.Workspace{}, false
}

// WorkspaceCount returns the number of workspaces in the view.
func (v *View) WorkspaceCount() int {
	if v == nil {
		return 0
	}
	n := 0
	for _, p := range v.workspaceShards {
		n += len(p.workspaces)
	}
	return n
}
