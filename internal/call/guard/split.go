package guard

// Shares of a process's descriptors. What clients of one port hold is never taken from another
// port, nor from the process's own connections to endpoints, peers and stores.
const (
	// ReservedFDs are descriptors for files, which the platform asks for.
	ReservedFDs = 200
	// MinFDs leaves some connections to each port.
	MinFDs = ReservedFDs + 64
	// The rest is shared: a sixty-fourth for probes, of which there are two a second, a
	// sixteenth for peers, operators and scrapes, and half of what is left for callers. The
	// other half is for the process's own connections, of which a call uses one and a move
	// another.
	probeShare, internalShare, callerShare = 64, 16, 2

	minProbes, maxProbes     = 8, 32
	minInternal, maxInternal = 16, 128
)

// Split returns how many connections of callers, of probes, and of peers, operators or scrapes
// fit a limit on descriptors, of which 0 is none.
func Split(maxFDs, mostCallers int) (callers, probes, internal int) {
	if maxFDs == 0 {
		return mostCallers, maxProbes, maxInternal
	}
	free := max(MinFDs, maxFDs) - ReservedFDs
	probes = min(maxProbes, max(minProbes, free/probeShare))
	internal = min(maxInternal, max(minInternal, free/internalShare))
	return min(mostCallers, (free-probes-internal)/callerShare), probes, internal
}
