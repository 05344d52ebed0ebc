package bundle

import (
	"errors"
	"fmt"
	"testing"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

func file(workspaces int) spec.File {
	f := spec.File{DataCentres: []spec.DataCentre{{Name: "a", Region: "r"}}}
	for i := range workspaces {
		f.Workspaces = append(f.Workspaces, spec.Workspace{Name: fmt.Sprintf("w%d", i), KeySHA256: Hash([]byte{byte(i), byte(i >> 8)})})
	}
	return f
}

func build(t *testing.T, version uint64, f spec.File) *Bundle {
	t.Helper()
	b, err := Build(version, f)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestOneChangeAffectsOneShard(t *testing.T) {
	f := file(3000)
	before := build(t, 1, f)
	f.Workspaces[1234].Weight = 9
	after := build(t, 2, f)
	changed := 0
	for sum := range after.Shards() {
		if before.Shard(sum) == nil {
			changed++
		}
	}
	if changed != 1 {
		t.Fatalf("%d of %d shards changed", changed, len(after.Shards()))
	}
}

func TestAssembleRejectsInvalidInput(t *testing.T) {
	one, two := build(t, 1, file(500)), build(t, 2, file(501))
	corrupt := map[string][]byte{}
	for sum := range two.Shards() {
		corrupt[sum] = []byte("{}")
	}
	cases := []struct {
		name   string
		raw    []byte
		shards map[string][]byte
		kind   Kind
	}{
		{"shards of another version", two.Raw(), one.Shards(), KindIncomplete},
		{"shards with wrong content", two.Raw(), corrupt, KindInvalid},
		{"truncated manifest", two.Raw()[:40], two.Shards(), KindInvalid},
		{"no version", []byte(`{"version":0,"shards":[]}`), nil, KindInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Assemble(c.raw, c.shards, false)
			var e *Error
			if !errors.As(err, &e) || e.Kind != c.kind {
				t.Fatalf("error %v", err)
			}
		})
	}
}

func TestSaveAndOpen(t *testing.T) {
	dir := t.TempDir()
	if b, err := Open(dir); b != nil || err != nil {
		t.Fatalf("Open of an empty folder returned %v, %v", b, err)
	}
	b := build(t, 7, file(100))
	if err := b.Save(dir); err != nil {
		t.Fatal(err)
	}
	again, err := Open(dir)
	if err != nil || again.Version() != 7 {
		t.Fatalf("%v", err)
	}
	f, err := again.File()
	if err != nil || len(f.Workspaces) != 100 {
		t.Fatalf("%d workspaces, %v", len(f.Workspaces), err)
	}
}

func FuzzDecodeManifest(f *testing.F) {
	b, err := Build(3, file(10))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b.Raw())
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := DecodeManifest(raw)
		if err == nil && (m.Version == 0 || len(m.Shards) == 0) {
			t.Fatalf("accepted %q", raw)
		}
	})
}
