package serve

// holdEvery is the number of events after which the memory of a running generation is
// compared with what it counts for. A step of the scheduler's takes more events than that.
const holdEvery = 16

// holdMemory tells the scheduler how much memory the generation holds, since outputs grow
// longer than was estimated when the call was placed.
func (c *streamCall) holdMemory() {
	engine := c.in.Service.Engine
	if engine == nil || engine.TokensPerEvent == 0 || c.events%holdEvery != 0 {
		return
	}
	c.source.lease.HoldMemory(c.in.Call.PromptTokens + c.events*engine.TokensPerEvent)
}
