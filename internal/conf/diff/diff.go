// Package diff describes the differences between two configurations to
// operators.
package diff

import (
	"fmt"
	"reflect"
	"slices"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/conf/spec"
)

// Lines returns one line per data centre, service or workspace that differs,
// none for equal configurations.
func Lines(old, next spec.File) []string {
	out := diffSection("data centre", old.DataCentres, next.DataCentres, func(d spec.DataCentre) string { return d.Name }, describeDataCentre)
	out = append(out, diffSection("service", old.Services, next.Services, func(s spec.Service) string { return s.Name }, describeFields)...)
	return append(out, diffSection("workspace", old.Workspaces, next.Workspaces, func(w spec.Workspace) string { return w.Name }, describeFields)...)
}

func diffSection[T any](what string, old, next []T, name func(T) string, describe func(a, b any) string) []string {
	before := lo.KeyBy(old, name)
	after := lo.KeyBy(next, name)
	names := lo.Uniq(append(lo.Keys(before), lo.Keys(after)...))
	slices.Sort(names)
	var out []string
	for _, n := range names {
		a, inOld := before[n]
		b, inNext := after[n]
		switch {
		case !inOld:
			out = append(out, fmt.Sprintf("+ %s %s", what, n))
		case !inNext:
			out = append(out, fmt.Sprintf("- %s %s", what, n))
		case !reflect.DeepEqual(a, b):
			out = append(out, fmt.Sprintf("~ %s %s: %s", what, n, describe(a, b)))
		}
	}
	return out
}

func describeDataCentre(a, b any) string {
	old, next := a.(spec.DataCentre), b.(spec.DataCentre)
	switch {
	case !old.OutOfService && next.OutOfService:
		return "taken out of service"
	case old.OutOfService && !next.OutOfService:
		return "brought back into service"
	}
	return describeFields(a, b)
}

// describeFields lists the fields that differ, with both values. It prints the
// Go names of the fields.
func describeFields(a, b any) string {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	out := ""
	for i := range x.NumField() {
		p, q := x.Field(i).Interface(), y.Field(i).Interface()
		if reflect.DeepEqual(p, q) {
			continue
		}
		if out != "" {
			out += ", "
		}
		out += fmt.Sprintf("%s %v -> %v", x.Type().Field(i).Name, p, q)
	}
	return out
}
