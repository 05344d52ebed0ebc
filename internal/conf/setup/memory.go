package setup

const (
	minMemoryMB = 64 // below, the largest head and a small body do not fit beside what a process needs when idle
	// Shares of memory_mb. They leave room for the copies of a body that is decoded, for connections and for garbage.
	softLimitRatio = 0.7 // the collector's limit, as at gateways; the rest is for stacks and the kernel's view of freed memory
	headShare      = 8   // callers' heads: a largest head of shortest fields counts 1.6 MB
	bodyShare      = 2   // callers' bodies (entry): a body counts twice at its end
	responseShare  = 4   // responses read as a whole (agent), and buffered ones once more
	// Peers' messages that are larger than a frame. At an agent they are offers, whose bodies count here
	// too until their calls end; the largest is served alone although it exceeds this share. With a half,
	// the collector had too little room for garbage: 134 MB of 128 beside other load. At an entry they are
	// versions of the configuration, of some KB.
	agentMessageRatio = 0.375
	entryMessageRatio = 0.0625
)

// memory returns the memory limit in bytes.
func (s Settings) memory() int64 { return int64(max(minMemoryMB, s.MemoryMB)) << 20 }

// SoftMemoryLimit returns the runtime's memory limit in bytes.
func (s Settings) SoftMemoryLimit() int64 { return int64(softLimitRatio * float64(s.memory())) }

// HeadMemory returns the bytes for callers' heads.
func (s Settings) HeadMemory() int64 { return s.memory() / headShare }

// BodyMemory returns the bytes for callers' bodies.
func (s Settings) BodyMemory() int64 { return s.memory() / bodyShare }

// MessageMemory returns the bytes for peers' messages and, at an agent, for the bodies of calls.
func (s Settings) MessageMemory(role Role) int64 {
	if role == RoleAgent {
		return int64(agentMessageRatio * float64(s.memory()))
	}
	return int64(entryMessageRatio * float64(s.memory()))
}

// BufferLimit returns the bytes for buffered responses, and for those read as a whole: buffer_bytes,
// and at most a quarter of the memory.
func (s Settings) BufferLimit() int { return min(s.BufferBytes, int(s.memory()/responseShare)) }
