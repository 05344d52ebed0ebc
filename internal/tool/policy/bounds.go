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
	bound("preemptions a generation, mean", ours.PreemptionsPerGeneration, 0.001, false)
	bound("preemptions a generation, worst seed", rep.Main[NameMimosalock].Worst.PreemptionsPerGeneration, 0.001, false)
	bound("useful tokens", ours.UsefulTokensPS, 0.95*oracle.UsefulTokensPS, true)
	bound("gap p99 to the oracle's", ours.GapP99Ms, 1.3*oracle.GapP99Ms, false)
	baselineExcess := rep.minBaselineExcess(oracle.GapP99Ms)
	bound("excess of gap p99 to the best baseline's", max(0, ours.GapP99Ms-oracle.GapP99Ms), baselineExcess/2, false)
	bound("check first token p99", ours.CheckFirstTokenP99Ms, 1.5*oracle.CheckFirstTokenP99Ms, false)
	bound("first token p99 to round robin's, 12 workers", ours.FirstTokenP99Ms, rep.Main[NameRoundRobin].Mean.FirstTokenP99Ms/2, false)
	bound("first token p99 to the full-knowledge choice's, 12 workers", ours.FirstTokenP99Ms, 1.2*oracle.FirstTokenP99Ms, false)
	if len(rep.Large) > 0 {
		bound("first token p99 to round robin's, 160 workers", rep.largeFigures(NameMimosalock).FirstTokenP99Ms, rep.largeFigures(NameRoundRobin).FirstTokenP99Ms/2, false)
		bound("first token p99 to the full-knowledge choice's, 160 workers", rep.largeFigures(NameMimosalock).FirstTokenP99Ms, 1.2*rep.largeFigures(NameOracle).FirstTokenP99Ms, false)
	}
	bound("overloaded steps, cold start", float64(rep.Cold.OverloadedSteps), 0, false)
	bound("calls started on an endpoint that turned cold", float64(rep.Cold.CallsOnReset), 0, false)
	bound("time to full use after a cold start", rep.Cold.WarmUpSecs, 1.5*rep.Cold.OracleWarmUpSecs, false)
	bound("others' first token p99 when one sends 10x", rep.Fair.OthersCheckP99DuringMs, 1.1*rep.Fair.OthersCheckP99BeforeMs, false)
	peak := 0.0
	for _, o := range rep.Overload {
		if o.Policy == NameMimosalock {
			peak = max(peak, o.UsefulTokensPS)
		}
	}
	for _, o := range rep.Overload {
		if o.Policy == NameMimosalock && o.CapacityFactor > 1 {
			bound(fmt.Sprintf("useful tokens at %gx", o.CapacityFactor), o.UsefulTokensPS, 0.95*peak, true)
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
		if excess := max(0, rep.Main[name].Mean.GapP99Ms-oracleGap); best < 0 || excess < best {
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
