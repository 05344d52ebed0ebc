package routes

import (
	"slices"
	"testing"
)

func TestMatch(t *testing.T) {
	table := New(Parts{Version: 1, Routes: []Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "B.example", Prefix: "/x/"},
		{Name: "address", Host: "[::1]", Prefix: "/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"b.example", "/y/", ""},
		{"c.example", "/x/", ""},
		{"[::1]", "/", "address"},
		{"[::1]:8080", "/", "address"},
	} {
		t.Run(test.host+test.path, func(t *testing.T) {
			if r, ok := table.Match(test.host, test.path); r.Name != test.want || ok != (test.want != "") {
				t.Fatalf("matched %q, want %q", r.Name, test.want)
			}
		})
	}
}

func TestAllowedRegions(t *testing.T) {
	for _, test := range []struct {
		name                   string
		route, workspace, want []string
		ok                     bool
	}{
		{"neither", nil, nil, nil, true},
		{"route", []string{"a"}, nil, []string{"a"}, true},
		{"workspace", nil, []string{"b"}, []string{"b"}, true},
		{"both", []string{"a", "b"}, []string{"b", "c"}, []string{"b"}, true},
		{"nothing left", []string{"a"}, []string{"b"}, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got, ok := AllowedRegions(test.route, test.workspace); !slices.Equal(got, test.want) || ok != test.ok {
				t.Fatalf("regions %v, ok %v, want %v, %v", got, ok, test.want, test.ok)
			}
		})
	}
}

func TestTarget(t *testing.T) {
	r := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	for _, test := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.9, "b"}, {0.999, "b"}} {
		if got := r.Target(test.draw); got != test.want {
			t.Errorf("draw %v chose %q, want %q", test.draw, got, test.want)
		}
	}
}
