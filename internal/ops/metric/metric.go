// Package metric defines the Prometheus metrics of one process.
package metric

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Set contains the metrics of one process. Durations are in seconds.
type Set struct {
	Registry *prometheus.Registry

	Outcomes         *prometheus.CounterVec // by outcome
	Attempts         *prometheus.CounterVec // by result: accepted, refused, lost (entry); good, failed, never, lost (gateway)
	Retries          *prometheus.CounterVec // by reason
	Resumes          prometheus.Counter
	Recalls          *prometheus.CounterVec   // attempts that an entry has left, by fate: never, started, unknown, unconfirmed
	CallDuration     *prometheus.HistogramVec // by service
	RouteDuration    prometheus.Histogram     // from the request to the accepted offer
	CrossRegionBytes prometheus.Counter       // bytes of responses relayed from another region
	Handovers        *prometheus.CounterVec   // moves of generations, by result: moved, failed, cancelled, stayed
	KeptRoom         *prometheus.GaugeVec     // share of engines' memory kept for moves, by service and region
	EndpointsLeft    *prometheus.CounterVec   // before their response ended, by result: closed, sending, unanswered, unconfirmed
	RunStops         *prometheus.CounterVec   // of runs at endpoints that were left, by result: stopped, not_running, failed, skipped
	SilentEndpoints  *prometheus.CounterVec   // of streams, by decision: waits, given_up
	LogDropped       prometheus.Counter       // dropped log lines
	EarlyBreaks      prometheus.Counter       // responses of engines that broke off after the head and before the first event
	PromptsBlocked   prometheus.Counter       // calls that were not sent, as engines crash under their prompt
	CallsBlocked     prometheus.Counter       // calls that were not sent, as endpoints crash under them
	CallerResumes    *prometheus.CounterVec   // streams that callers take up, by how the version that began them is known, none if it is not
	LostSends        *prometheus.CounterVec   // sends that an endpoint broke off, by what became of it: down, up
	LimitedEndpoints prometheus.Gauge         // endpoints that name a limit on their requests
	Permits          *prometheus.CounterVec   // for calls to such endpoints, by event: asked, handed_out, used
	LimitedRefusals  prometheus.Counter       // calls refused because all endpoints name limits
	TurnedAway       *prometheus.CounterVec   // connections and requests that a port refused or closed, by port and why
	RemoteCalls      *prometheus.CounterVec   // calls placed in other regions, by whether the endpoint's load was known
	RegionReports    *prometheus.CounterVec   // messages about loads of other regions, by event: sent, received, dropped

	QueuedCalls   prometheus.Counter     // calls that waited for an endpoint
	PassedOver    prometheus.Counter     // placements of calls before waiting ones that were ahead of them
	EarlyRefusals *prometheus.CounterVec // calls refused before their wait ended, by reason: no_prospect, queue_full
	Explanations  *prometheus.CounterVec // requests for explanations, by result: endpoint (gateway) or offered (entry), queued, refused, undecided (entry), invalid, limited
	KeptTokens    prometheus.Gauge       // that the last queued call left free at each engine for shorter ones
	KeptWaits     prometheus.Counter     // calls that waited only because of such room
	// Turns of processes at an endpoint that gets room.
	TurnWait          prometheus.Histogram   // how long a waiting call left room to another process, once for each time
	QueueingPeers     prometheus.Gauge       // peers with a valid report about waiting calls
	OutOfTurn         prometheus.Counter     // placements while another process had the turn, as its report showed later
	QueuedDespiteRoom *prometheus.CounterVec // calls that queued although there was room, by whose calls waited: own, peer

	ShareReports   prometheus.Gauge       // reports of peers about shares of workspaces that are valid
	ShareBytes     *prometheus.CounterVec // of such reports, by event: sent, received
	LoadStatements *prometheus.CounterVec // what endpoints say of their load, by form: valid, invalid
	PacedEndpoints prometheus.Gauge       // incarnations of endpoints whose pace is known
	PauseRisks     prometheus.Counter     // streams placed where pauses above their target are expected

	SuspectEndpoints prometheus.Gauge       // endpoints that fail more calls than others of their service
	SuspectCalls     *prometheus.CounterVec // calls placed on such endpoints, by whether they can be repeated

	AdmissionDecisions *prometheus.CounterVec // decisions, by verdict
	Refusals           *prometheus.CounterVec // of offers, by kind
	RunsEnded          *prometheus.CounterVec // of runs, by outcome
	RunsRunning        prometheus.Gauge       // runs in progress
	RunsWaiting        prometheus.Gauge       // queued runs
	ConcurrencyLimit   prometheus.Gauge       // current concurrency limit
	BufferedBytes      prometheus.Gauge       // bytes of buffered responses
	FramesReceived     prometheus.Counter     // frames received from the engine
	FirstToken         prometheus.Histogram
	TokenGap           prometheus.Histogram
}

// New returns a Set with its own registry.
func New() *Set {
	m := &Set{
		Registry:           prometheus.NewRegistry(),
		Outcomes:           counters("call_outcomes_total", "Calls answered, by outcome.", "outcome"),
		Attempts:           counters("attempts_total", "Offers to endpoints, by result.", "result"),
		Retries:            counters("retries_total", "Attempts after the first of a call, by reason.", "reason"),
		Resumes:            counter("stream_resumes_total", "Streams taken up on a new session."),
		Recalls:            counters("recalls_total", "Attempts that the entry has left, by what their agent said of them.", "fate"),
		CallDuration:       histograms("call_seconds", "Time from request to the end of the answer.", "service"),
		RouteDuration:      histogram("route_seconds", "Time from request to an accepted offer."),
		CrossRegionBytes:   counter("cross_region_bytes_total", "Answer bytes relayed from another region."),
		Handovers:          counters("handovers_total", "Moves of running generations to another engine, by result.", "result"),
		KeptRoom:           gauges("kept_room_share", "Share of each engine's memory that is kept free for moves.", "service", "region"),
		EndpointsLeft:      counters("endpoints_left_total", "Endpoints that were left before their response ended, by whether they closed their side.", "result"),
		RunStops:           counters("run_stops_total", "Runs that endpoints which did not close their side were asked to stop, by what came of it.", "result"),
		SilentEndpoints:    counters("silent_endpoints_total", "Streams whose endpoint was silent for too long, by decision.", "decision"),
		LogDropped:         counter("log_lines_dropped_total", "Log lines left out by sampling or a slow reader."),
		EarlyBreaks:        counter("early_breaks_total", "Responses that engines broke off before the first event."),
		PromptsBlocked:     counter("prompts_blocked_total", "Calls not sent because engines crash under a part of their prompt."),
		CallsBlocked:       counter("calls_blocked_total", "Calls not sent because endpoints crash under them."),
		CallerResumes:      counters("caller_resumes_total", "Streams that callers take up, by how the version that began them is known.", "known_from"),
		LostSends:          counters("lost_sends_total", "Sends that an endpoint broke off, by what became of it.", "endpoint"),
		LimitedEndpoints:   gauge("limited_endpoints", "Endpoints that name a limit on their requests a second."),
		Permits:            counters("limit_permits_total", "Permits for calls to endpoints that name a limit, by event.", "event"),
		LimitedRefusals:    counter("limited_refusals_total", "Calls refused because all their endpoints name a limit that is used up."),
		TurnedAway:         counters("turned_away_total", "Connections and requests that were refused or closed for lack of room or progress, by port and reason.", "port", "why"),
		RemoteCalls:        counters("remote_calls_total", "Calls placed on endpoints of other regions, by whether their load was known.", "load"),
		RegionReports:      counters("region_reports_total", "Messages about loads between regions, by event.", "event"),
		QueuedCalls:        counter("queued_calls_total", "Calls that waited for an endpoint."),
		PassedOver:         counter("queue_passed_over_total", "Placements of calls before waiting ones that were ahead of them."),
		EarlyRefusals:      counters("early_refusals_total", "Calls refused before their wait ended, by reason.", "reason"),
		Explanations:       counters("explanations_total", "Requests to explain where a call would be placed, by result.", "result"),
		KeptTokens:         gauge("kept_tokens", "Memory that the last queued call left free at each engine for shorter ones, in tokens."),
		KeptWaits:          counter("kept_waits_total", "Calls that waited only because of room kept for shorter ones."),
		TurnWait:           histogram("turn_wait_seconds", "Time for which a waiting call left room to another process."),
		QueueingPeers:      gauge("queueing_peers", "Peers with a valid report about waiting calls."),
		OutOfTurn:          counter("out_of_turn_total", "Placements while another process had the turn, as its report showed later."),
		QueuedDespiteRoom:  counters("queued_despite_room_total", "Calls that queued although there was room, by whose calls waited.", "behind"),
		ShareReports:       gauge("share_reports", "Reports of peers about the shares of workspaces that are valid, one for each peer and service."),
		ShareBytes:         counters("share_report_bytes_total", "Bytes of reports about the shares of workspaces, by event.", "event"),
		LoadStatements:     counters("load_statements_total", "Responses that tell the load of their endpoint, by form.", "form"),
		PacedEndpoints:     gauge("paced_endpoints", "Incarnations of endpoints that told how long work takes on them."),
		PauseRisks:         counter("pause_risks_total", "Streams placed where pauses above their target are expected."),
		SuspectEndpoints:   gauge("suspect_endpoints", "Endpoints that fail clearly more calls than others of their service."),
		SuspectCalls:       counters("suspect_calls_total", "Calls placed on such endpoints, by whether they can be repeated.", "repeatable"),
		AdmissionDecisions: counters("admission_total", "Admission decisions, by verdict.", "verdict"),
		Refusals:           counters("refusals_total", "Refused offers, by kind.", "kind"),
		RunsEnded:          counters("runs_ended_total", "Runs ended, by outcome.", "outcome"),
		RunsRunning:        gauge("runs_running", "Started runs."),
		RunsWaiting:        gauge("runs_waiting", "Queued runs."),
		ConcurrencyLimit:   gauge("concurrency_limit", "Present concurrency limit."),
		BufferedBytes:      gauge("answer_bytes", "Memory of answers held."),
		FramesReceived:     counter("tokens_total", "Frames received from the engine."),
		FirstToken:         histogram("first_token_seconds", "Time from start to the first token."),
		TokenGap:           histogram("token_gap_seconds", "Time between tokens."),
	}
	m.Registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		m.Outcomes, m.Attempts, m.Retries, m.Resumes, m.Recalls, m.CallDuration, m.RouteDuration, m.CrossRegionBytes, m.Handovers, m.KeptRoom, m.EndpointsLeft, m.RunStops, m.SilentEndpoints, m.LogDropped, m.EarlyBreaks, m.PromptsBlocked, m.CallsBlocked, m.CallerResumes, m.LostSends, m.LimitedEndpoints, m.Permits, m.LimitedRefusals, m.TurnedAway, m.RemoteCalls, m.RegionReports, m.LoadStatements, m.PacedEndpoints, m.PauseRisks, m.SuspectEndpoints, m.SuspectCalls, m.QueuedCalls, m.PassedOver, m.EarlyRefusals, m.Explanations, m.KeptTokens, m.KeptWaits, m.TurnWait, m.QueueingPeers, m.OutOfTurn, m.QueuedDespiteRoom, m.ShareReports, m.ShareBytes, m.AdmissionDecisions, m.Refusals,
		m.RunsEnded, m.RunsRunning, m.RunsWaiting, m.ConcurrencyLimit, m.BufferedBytes, m.FramesReceived, m.FirstToken, m.TokenGap,
	)
	return m
}

const namespace = "mimosalock"

// latencyBuckets returns buckets from 0.5 ms to about 66 s.
func latencyBuckets() []float64 { return prometheus.ExponentialBuckets(0.0005, 2, 18) }

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help})
}

func gauges(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets()})
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets()}, labels)
}

// RegisterTraffic exports the bytes received from and sent to peers.
func (m *Set) RegisterTraffic(traffic func() (received, sent int64)) {
	m.Registry.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: "link_received_bytes_total", Help: "Bytes received from peers."},
			func() float64 { n, _ := traffic(); return float64(n) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: "link_sent_bytes_total", Help: "Bytes sent to peers."},
			func() float64 { _, n := traffic(); return float64(n) }),
	)
}
