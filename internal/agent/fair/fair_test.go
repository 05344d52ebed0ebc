package fair

import (
	"testing"
	"time"
)

// serve queues calls of equal cost of workspaces a and b, and returns how many of
// the first n served are of workspace a.
func serve(weightA, weightB, n int) int {
	q := New[string]()
	now := time.Unix(0, 0)
	for range 100 {
		q.Push(&Item[string]{Workspace: "a", Weight: weightA, Cost: 10, Arrived: now, MaxWait: time.Hour})
		q.Push(&Item[string]{Workspace: "b", Weight: weightB, Cost: 10, Arrived: now, MaxWait: time.Hour})
	}
	served := 0
	for range n {
		it := q.Next(now)
		q.Take(it)
		if it.Workspace == "a" {
			served++
		}
	}
	return served
}

func TestWorkspaceShares(t *testing.T) {
	cases := []struct{ weightA, weightB, want int }{{1, 1, 20}, {3, 1, 30}, {1, 3, 10}}
	for _, c := range cases {
		if got := serve(c.weightA, c.weightB, 40); got < c.want-1 || got > c.want+1 {
			t.Errorf("weights %d and %d: %d of 40 served, want %d", c.weightA, c.weightB, got, c.want)
		}
	}
}

func TestNextOrder(t *testing.T) {
	now := time.Unix(100, 0)
	item := func(name, workspace string, priority int, waited time.Duration) *Item[string] {
		return &Item[string]{Value: name, Workspace: workspace, Weight: 1, Priority: priority, Cost: 1, Arrived: now.Add(-waited), MaxWait: 10 * time.Second}
	}
	cases := []struct {
		name  string
		items []*Item[string]
		want  string
	}{
		{"first come, first served", []*Item[string]{item("x", "a", 0, 0), item("y", "b", 0, 0)}, "x"},
		{"urgent priority first", []*Item[string]{item("plan", "a", 10, 0), item("check", "a", 0, 0)}, "check"},
		{"no priority starves", []*Item[string]{item("plan", "a", 10, 6*time.Second), item("check", "b", 0, 0)}, "plan"},
		{"a long queue does not overtake", []*Item[string]{
			item("a1", "a", 0, 6*time.Second), item("a2", "a", 0, 6*time.Second), item("a3", "a", 0, 6*time.Second), item("b1", "b", 0, 0),
		}, "a1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q := New[string]()
			for _, it := range c.items {
				q.Push(it)
			}
			if got := q.Next(now); got.Value != c.want {
				t.Fatalf("next is %s, want %s", got.Value, c.want)
			}
		})
	}
	q := New[string]()
	for range 3 {
		q.Push(item("a", "a", 0, 6*time.Second))
	}
	q.Push(item("b", "b", 0, 0))
	q.Take(q.Next(now))
	if got := q.Next(now); got.Value != "b" {
		t.Fatalf("next after a call of workspace a is %s, want b", got.Value)
	}
}
