package order

import "maps"

// Clone returns a copy of the book that shares nothing with it.
func (b *Book) Clone() *Book {
	return &Book{kinds: cloneValues(b.kinds), accounts: cloneValues(b.accounts), told: maps.Clone(b.told), flows: cloneValues(b.flows), sizes: cloneValues(b.sizes)}
}

// cloneValues copies a map and the values that it points to.
func cloneValues[K comparable, V any](m map[K]*V) map[K]*V {
	out := make(map[K]*V, len(m))
	for k, v := range m {
		copied := *v
		out[k] = &copied
	}
	return out
}
