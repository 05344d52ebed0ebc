package route

import (
	"slices"

	"github.com/mimosalock/mimosalock/internal/fleet/roster"
)

// Tier is a group of candidates. All of a tier go before those of the next.
type Tier uint8

// The tiers.
const (
	TierRegion    Tier = iota // agents in the entry's region
	TierOther                 // agents in other regions, to which traffic is billed
	TierSuspected             // agents that this entry suspects to be down
)

// String returns the name of the tier.
func (t Tier) String() string { return [...]string{"region", "other_region", "suspected"}[t] }

// Exclusion is why an agent gets no probes, empty if it is a candidate.
type Exclusion string

// The exclusions.
const (
	ExcludedLeaving      Exclusion = "leaving"        // the host list marks it as leaving
	ExcludedDataCentre   Exclusion = "data_centre"    // the configuration does not list its data centre
	ExcludedOutOfService Exclusion = "out_of_service" // its data centre is out of service
	ExcludedService      Exclusion = "service"        // the service does not use its data centre
	ExcludedModel        Exclusion = "model"          // its engine should not hold the call's model
)

// Class is the tier of an agent, or why it is excluded.
type Class struct {
	Tier     Tier
	Excluded Exclusion
}

// classifier returns the function that classifies the agents of a call.
func (in Input) classifier() func(m roster.Member) Class {
	home, _ := in.View.DataCentre(in.DataCentre)
	centres := map[string]Class{}
	for name, d := range in.View.DataCentres() {
		c := Class{Tier: TierOther}
		switch {
		case d.OutOfService:
			c.Excluded = ExcludedOutOfService
		case len(in.Service.DataCentres) > 0 && !slices.Contains(in.Service.DataCentres, name):
			c.Excluded = ExcludedService
		case d.Region == home.Region:
			c.Tier = TierRegion
		}
		centres[name] = c
	}
	return func(m roster.Member) Class {
		c, known := centres[m.DataCentre]
		switch {
		case !known:
			return Class{Excluded: ExcludedDataCentre}
		case m.Leaving:
			return Class{Excluded: ExcludedLeaving}
		case c.Excluded != "":
			return c
		case in.Holds != nil && !in.Holds(m.Host):
			return Class{Excluded: ExcludedModel}
		case in.Suspected(m.Host):
			return Class{Tier: TierSuspected}
		}
		return c
	}
}
