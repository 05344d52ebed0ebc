// Package jsonc decodes JSON with comments strictly into a struct and records
// the position of every value, so that faults can be reported with file, line
// and column.
package jsonc

import (
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// File is a parsed file with the faults found in it so far.
type File struct {
	name    string
	src     []byte
	offsets map[string]int // byte offsets by path, such as services[2].kind
	faults  []Fault
}

// Fault is an error at a position in a file.
type Fault struct {
	File    string
	Line    int // from 1
	Column  int // in bytes, from 1
	Message string
}

// String formats the fault as file:line:column: message.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
}

// Parse decodes src into dst, a pointer to a struct with json tags. Syntax
// errors and unknown, repeated or wrongly typed fields become faults of the
// returned file.
func Parse(name string, src []byte, dst any) *File {
	f := &File{name: name, src: src, offsets: map[string]int{}}
	root, err := hujson.Parse(src)
	if err != nil {
		line, col, msg := splitSyntaxError(err)
		f.faults = append(f.faults, Fault{File: name, Line: line, Column: col, Message: msg})
		return f
	}
	f.walk(&root, reflect.TypeOf(dst).Elem(), "")
	if len(f.faults) > 0 {
		return f
	}
	root.Standardize()
	if err := json.Unmarshal(root.Pack(), dst); err != nil {
		f.AddFault("", "%v", err)
	}
	return f
}

// AddFault records a fault at the value with this path, or at its nearest parent if
// the file does not contain it.
func (f *File) AddFault(path, format string, args ...any) {
	line, col := f.position(f.offset(path))
	f.faults = append(f.faults, Fault{File: f.name, Line: line, Column: col, Message: fmt.Sprintf(format, args...)})
}

// Faults returns the faults sorted by position.
func (f *File) Faults() []Fault {
	out := slices.Clone(f.faults)
	slices.SortStableFunc(out, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return out
}

func (f *File) offset(path string) int {
	for {
		if off, ok := f.offsets[path]; ok {
			return off
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return f.offsets[""]
		}
		path = path[:cut]
	}
}

func (f *File) position(offset int) (line, col int) {
	before := string(f.src[:min(offset, len(f.src))])
	line = 1 + strings.Count(before, "\n")
	return line, offset - strings.LastIndexByte(before, '\n')
}

// splitSyntaxError splits the parser's message, which begins with "hujson: line
// L, column C: ".
func splitSyntaxError(err error) (line, col int, msg string) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line, col = 1, 1
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d", &line, &col); scanErr != nil {
		return 1, 1, text
	}
	if _, rest, ok := strings.Cut(text, ": "); ok {
		text = rest
	}
	return line, col, text
}

func (f *File) walk(v *hujson.Value, t reflect.Type, path string) {
	f.offsets[path] = v.StartOffset
	for t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	switch val := v.Value.(type) {
	case *hujson.Object:
		f.walkObject(val, t, path)
	case *hujson.Array:
		f.walkArray(val, t, path)
	case hujson.Literal:
		f.walkLiteral(val, t, path)
	}
}

func (f *File) walkObject(obj *hujson.Object, t reflect.Type, path string) {
	if t.Kind() != reflect.Struct {
		f.AddFault(path, "expected %s, found an object", kindName(t))
		return
	}
	fields := fieldTypes(t)
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name, err := literalString(m.Name.Value)
		if err != nil {
			f.AddFault(path, "field name: %v", err)
			continue
		}
		child := join(path, name)
		f.offsets[child] = m.Name.StartOffset
		ft, known := fields[name]
		switch {
		case !known:
			f.AddFault(child, "unknown field %q%s", name, Suggest(name, fieldNames(t)))
		case seen[name]:
			f.AddFault(child, "field %q appears twice", name)
		default:
			f.walk(&m.Value, ft, child)
		}
		seen[name] = true
	}
}

func (f *File) walkArray(arr *hujson.Array, t reflect.Type, path string) {
	if t.Kind() != reflect.Slice {
		f.AddFault(path, "expected %s, found an array", kindName(t))
		return
	}
	for i := range arr.Elements {
		f.walk(&arr.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (f *File) walkLiteral(lit hujson.Literal, t reflect.Type, path string) {
	err := json.Unmarshal(lit, reflect.New(t).Interface())
	if err == nil && lit.Kind() != 'n' {
		return
	}
	var typeErr *json.UnmarshalTypeError
	if err == nil || errors.As(err, &typeErr) {
		f.AddFault(path, "expected %s, found %s", kindName(t), lit)
		return
	}
	f.AddFault(path, "%v", err)
}

func literalString(v hujson.ValueTrimmed) (string, error) {
	lit, ok := v.(hujson.Literal)
	if !ok {
		return "", fmt.Errorf("expected a string")
	}
	var s string
	err := json.Unmarshal(lit, &s)
	return s, err
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldTypes(t reflect.Type) map[string]reflect.Type {
	out := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out[name] = t.Field(i).Type
	}
	return out
}

func fieldNames(t reflect.Type) []string {
	var out []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		out = append(out, name)
	}
	return out
}

func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "a whole number"
	default:
		return "a number"
	}
}
