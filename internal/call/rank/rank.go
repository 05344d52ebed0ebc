// Package rank orders hosts for a key by rendezvous hashing.
package rank

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Hosts returns the hosts in descending order of their score for a key; the
// first is the key's owner. The order is the same on every process with the
// same hosts.
func Hosts(hosts []string, key string) []string {
	type scored struct {
		host  string
		score uint64
	}
	all := make([]scored, len(hosts))
	for i, h := range hosts {
		all[i] = scored{host: h, score: Score(h, key)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		case a.host < b.host:
			return -1
		default:
			return 1
		}
	})
	out := make([]string, len(all))
	for i, s := range all {
		out[i] = s.host
	}
	return out
}

// Score returns the rendezvous hash of a host and a key.
func Score(host, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}
