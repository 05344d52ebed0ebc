package bundle

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

const (
	manifestFile = "manifest"
	shardFolder  = "shards"
)

// Save writes the manifest and the shards as files, which the platform uploads.
// It writes the manifest last, so that a manifest never lists shards that are
// missing from the folder.
func (b *Bundle) Save(dir string) error {
	if err := os.MkdirAll(filepath.Join(dir, shardFolder), 0o755); err != nil {
		return newError("save", KindInvalid, err)
	}
	for sum, raw := range b.shards {
		if err := os.WriteFile(filepath.Join(dir, shardFolder, sum), raw, 0o644); err != nil {
			return newError("save", KindInvalid, err)
		}
	}
	next := filepath.Join(dir, manifestFile+".next")
	if err := os.WriteFile(next, b.raw, 0o644); err != nil {
		return newError("save", KindInvalid, err)
	}
	if err := os.Rename(next, filepath.Join(dir, manifestFile)); err != nil {
		return newError("save", KindInvalid, err)
	}
	return nil
}

// Open reads a folder written by Save. It returns nil without an error if the
// folder has no manifest.
func Open(dir string) (*Bundle, error) {
	raw, err := os.ReadFile(filepath.Join(dir, manifestFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, newError("open", KindInvalid, err)
	}
	m, err := DecodeManifest(raw)
	if err != nil {
		return nil, err
	}
	shards := map[string][]byte{}
	for _, s := range m.Shards {
		part, err := os.ReadFile(filepath.Join(dir, shardFolder, filepath.Base(s.SHA256)))
		if err != nil {
			return nil, newError("open", KindIncomplete, err)
		}
		shards[s.SHA256] = part
	}
	return Assemble(raw, shards, false)
}

// File merges all shards into one configuration.
func (b *Bundle) File() (spec.File, error) {
	var all spec.File
	for _, s := range b.manifest.Shards {
		var part spec.File
		if err := json.Unmarshal(b.shards[s.SHA256], &part); err != nil {
			return spec.File{}, newError("merge", KindInvalid, fmt.Errorf("shard %.12s: %w", s.SHA256, err))
		}
		all = all.Merge(part)
	}
	return all, nil
}
