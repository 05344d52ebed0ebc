package policy

import "fmt"

// Bound is a required limit of one figure, with its result.
type Bound struct {
	Name   string
	Met    bool
	Detail string // measured value and limit
}

// Bounds compares the figures with the limits. The limits come from the users' stated
// requirements, not from earlier measurements.
func (rep Report) Bounds() []Bound {
	ours, oracle := rep.Main[NameMimosalock].Mean, rep.Main[NameOracle].Mean
	var out []Bound
	bound := func(name string, value, limit float64, atLeast bool) {
		met := value <= limit
		sign := "at most"
		if atLeast {
			met, sign = value >= limit, "at least"
		}
		out = append(out, Bound{Name: name, Met: met, Detail: fmt.Sprintf("%.4g, %s %.4g", value, sign, limit)})
	}
	bound("preemptions a generation, mean", ours.Preemptions, 0.001, false)
	bound("preemptions a generation, worst seed", rep.Main[NameMimosalock].Worst.Preemptions, 0.001, false)
	bound("useful tokens", ours.UsefulPS, 0.95*oracle.UsefulPS, true)
	bound("gap p99 to the oracle's", ours.Gap99, 1.3*oracle.Gap99, false)
	baselineExcess := rep.minBaselineExcess(oracle.Gap99)
	bound("excess of gap p99 to the best baseline's", max(0, ours.Gap99-oracle.Gap99), baselineExcess/2, false)
	bound("check first token p99", ours.CheckFirst99, 1.5*oracle.CheckFirst99, false)
	bound("first token p99 to round robin's, 12 workers", ours.First99, rep.Main[NameRoundRobin].Mean.First99/2, false)
	bound("first token p99 to the full-knowledge choice's, 12 workers", ours.First99, 1.2*oracle.First99, false)
	if len(rep.Large) > 0 {
		bound("first token p99 to round robin's, 160 workers", rep.largeFigures(NameMimosalock).First99, rep.largeFigures(NameRoundRobin).First99/2, false)
		bound("first token p99 to the full-knowledge choice's, 160 workers", rep.largeFigures(NameMimosalock).First99, 1.2*rep.largeFigures(NameOracle).First99, false)
	}
	bound("overloaded steps, cold start", float64(rep.Cold.OursOverloads), 0, false)
	bound("calls started on an endpoint that turned cold", float64(rep.Cold.AgainOverloads), 0, false)
	bound("time to full use after a cold start", rep.Cold.OursFullSecs, 1.5*rep.Cold.OracleFullSecs, false)
	bound("others' first token p99 when one sends 10x", rep.Fair.During99, 1.1*rep.Fair.Before99, false)
	peak := 0.0
	for _, o := range rep.Overload {
		if o.Policy == NameMimosalock {
			peak = max(peak, o.UsefulPS)
		}
	}
	for _, o := range rep.Overload {
		if o.Policy == NameMimosalock && o.Times > 1 {
			bound(fmt.Sprintf("useful tokens at %gx", o.Times), o.UsefulPS, 0.95*peak, true)
		}
	}
	return out
}

// minBaselineExcess returns the smallest excess of a baseline's gap p99 over the oracle's.
func (rep Report) minBaselineExcess(oracleGap float64) float64 {
	best := -1.0
	for _, name := range Names() {
		if name == NameMimosalock || name == NameOracle {
			continue
		}
		if excess := max(0, rep.Main[name].Mean.Gap99-oracleGap); best < 0 || excess < best {
			best = excess
		}
	}
	return best
}

func (rep Report) largeFigures(name string) Figures {
	for _, f := range rep.Large {
		if f.Policy == name {
			return f
		}
	}
	return Figures{}
}
