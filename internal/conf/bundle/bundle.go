// Package bundle splits one configuration version into shards, which a manifest
// lists by their hashes, and assembles it again. Assembly returns the complete
// version or an error.
package bundle

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/bits"
	"slices"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

const (
	// MaxValueBytes is the size limit of one value in the configuration
	// service.
	MaxValueBytes = 1 << 20
	// targetShardBytes keeps the distribution of a change to one workspace
	// cheap: it transfers one shard of about this size and the manifest.
	targetShardBytes = 48 << 10
	fleetShard       = "fleet"
)

// Manifest lists the shards of one version.
type Manifest struct {
	Version uint64  `json:"version"`
	Shards  []Shard `json:"shards"`
}

// Shard identifies one stored value by the hex SHA-256 of its bytes. The fleet
// shard contains data centres and services; the others contain workspaces,
// grouped by key hash.
type Shard struct {
	Kind   string `json:"kind"`
	SHA256 string `json:"sha256"`
	Bytes  int    `json:"bytes"`
}

// Bundle is one configuration version with its shards. It is immutable.
type Bundle struct {
	manifest Manifest
	raw      []byte            // encoded manifest
	shards   map[string][]byte // by hash
}

// Build splits a configuration into a bundle.
func Build(version uint64, f spec.File) (*Bundle, error) {
	b := &Bundle{manifest: Manifest{Version: version}, shards: map[string][]byte{}}
	if err := b.addShard(fleetShard, spec.File{DataCentres: f.DataCentres, Services: f.Services}); err != nil {
		return nil, err
	}
	for _, group := range splitWorkspaces(f.Workspaces) {
		if err := b.addShard("workspaces", spec.File{Workspaces: group}); err != nil {
			return nil, err
		}
	}
	raw, err := json.Marshal(b.manifest)
	if err != nil {
		return nil, newError("build", KindInvalid, err)
	}
	if len(raw) > MaxValueBytes {
		return nil, newError("build", KindTooLarge, fmt.Errorf("manifest has %d bytes", len(raw)))
	}
	b.raw = raw
	return b, nil
}

func (b *Bundle) addShard(kind string, part spec.File) error {
	raw, err := json.Marshal(part)
	if err != nil {
		return newError("build", KindInvalid, err)
	}
	if len(raw) > MaxValueBytes {
		return newError("build", KindTooLarge, fmt.Errorf("%s shard has %d bytes", kind, len(raw)))
	}
	sum := Hash(raw)
	b.shards[sum] = raw
	b.manifest.Shards = append(b.manifest.Shards, Shard{Kind: kind, SHA256: sum, Bytes: len(raw)})
	return nil
}

// splitWorkspaces groups workspaces by the first two bytes of their key hash,
// so that a change of one workspace changes only one shard.
func splitWorkspaces(all []spec.Workspace) [][]spec.Workspace {
	if len(all) == 0 {
		return nil
	}
	raw, _ := json.Marshal(all) // plain data cannot fail to encode
	groups := 1 << bits.Len(uint(len(raw)/targetShardBytes))
	out := make([][]spec.Workspace, groups)
	for _, w := range all {
		i := groupIndex(w.KeySHA256, groups)
		out[i] = append(out[i], w)
	}
	for _, g := range out {
		slices.SortFunc(g, func(a, b spec.Workspace) int { return cmp.Compare(a.KeySHA256, b.KeySHA256) })
	}
	return out
}

func groupIndex(keyHex string, groups int) int {
	raw, err := hex.DecodeString(keyHex)
	if err != nil || len(raw) < 2 {
		return 0
	}
	return (int(raw[0])<<8 | int(raw[1])) % groups
}

// Hash returns the hex SHA-256 of a value.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// DecodeManifest decodes and validates a manifest.
func DecodeManifest(raw []byte) (Manifest, error) {
	var m Manifest
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&m); err != nil {
		return Manifest{}, newError("decode manifest", KindInvalid, err)
	}
	if m.Version == 0 || len(m.Shards) == 0 || m.Shards[0].Kind != fleetShard {
		return Manifest{}, newError("decode manifest", KindInvalid, fmt.Errorf("version %d with %d shards, expected a version above 0 and the fleet shard first", m.Version, len(m.Shards)))
	}
	return m, nil
}

// Assemble builds a bundle from an encoded manifest and its shards by hash.
// With fleetOnly it leaves out the workspace shards.
func Assemble(raw []byte, shards map[string][]byte, fleetOnly bool) (*Bundle, error) {
	m, err := DecodeManifest(raw)
	if err != nil {
		return nil, err
	}
	b := &Bundle{manifest: m, raw: raw, shards: map[string][]byte{}}
	for _, s := range m.RequiredShards(fleetOnly) {
		part, ok := shards[s.SHA256]
		if !ok {
			return nil, newError("assemble", KindIncomplete, fmt.Errorf("version %d lacks shard %.12s", m.Version, s.SHA256))
		}
		if Hash(part) != s.SHA256 {
			return nil, newError("assemble", KindInvalid, fmt.Errorf("version %d: content of shard %.12s does not match its hash", m.Version, s.SHA256))
		}
		b.shards[s.SHA256] = part
	}
	return b, nil
}

// RequiredShards returns the shards that a process stores: all, or with fleetOnly the
// fleet shard.
func (m Manifest) RequiredShards(fleetOnly bool) []Shard {
	if fleetOnly {
		return m.Shards[:1]
	}
	return m.Shards
}

// Version returns the configuration version.
func (b *Bundle) Version() uint64 { return b.manifest.Version }

// Manifest returns the manifest.
func (b *Bundle) Manifest() Manifest { return b.manifest }

// Raw returns the encoded manifest.
func (b *Bundle) Raw() []byte { return b.raw }

// Shard returns one shard by hash, or nil.
func (b *Bundle) Shard(sum string) []byte { return b.shards[sum] }

// Shards returns all shards by hash. The map must not be changed.
func (b *Bundle) Shards() map[string][]byte { return b.shards }

// Bytes returns the total size of the manifest and the shards.
func (b *Bundle) Bytes() int {
	n := len(b.raw)
	for _, s := range b.shards {
		n += len(s)
	}
	return n
}
