package sched

// memoryStep is the least by which a running call's memory is raised, in tokens. Each change
// is part of a load report.
const memoryStep = 256

// HoldMemory records that the call holds a number of tokens in its engine's KV cache. If that
// is more than it counts for, it counts for memoryStep more, or as much as it holds.
func (l *Lease) HoldMemory(tokens int) {
	l.scheduler.mu.Lock()
	defer l.scheduler.mu.Unlock()
	if l.released || tokens <= l.load.MemoryTokens {
		return
	}
	more := max(memoryStep, tokens-l.load.MemoryTokens)
	l.load.MemoryTokens += more
	l.state.local.MemoryTokens += more
}
