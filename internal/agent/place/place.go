// Package place computes which models each engine of a service should hold. Every
// process computes the same result from the configuration and the host list. The
// placement uses rendezvous hashing, so that adding or removing a host moves few
// models.
package place

import (
	"slices"

	"github.com/samber/lo"

	"github.com/mimosalock/mimosalock/internal/call/rank"
	"github.com/mimosalock/mimosalock/internal/conf/spec"
	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

// Models returns the models that a host's engine should hold, in the order of
// the service file.
func Models(s spec.Service, members []roster.Member, host string) []string {
	return lo.Filter(s.Models, func(m string, _ int) bool { return HolderFilter(s, members, m)(host) })
}

// HolderFilter returns a function that reports whether a host's engine should hold the
// model. If the service sets no number of copies, every engine should hold every
// model. Otherwise, leaving hosts are excluded.
func HolderFilter(s spec.Service, members []roster.Member, model string) func(host string) bool {
	if s.Copies <= 0 || model == "" {
		return func(string) bool { return true }
	}
	var staying []string
	for _, m := range members {
		if !m.Leaving {
			staying = append(staying, m.Host)
		}
	}
	ranked := rank.Hosts(staying, "model/"+model)
	holders := ranked[:min(s.Copies, len(ranked))]
	return func(host string) bool { return slices.Contains(holders, host) }
}
