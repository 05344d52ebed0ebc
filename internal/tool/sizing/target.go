package sizing

// Size of the target deployment (Target...) and limits on the resource use (Budget...), which
// apply to one process where nothing else is said. Control is all work other than relaying
// streams.
const (
	TargetEntries            = 390
	TargetWorkers            = 1_600
	TargetRequestsPS         = 1_100
	TargetTokensPS           = 530_000
	TargetWorkspaces         = 37_000
	TargetModels             = 10
	TargetRegions            = 2
	TargetCentres            = 8
	TargetChangesPerDay      = 3_700 // configuration changes
	TargetHostFailuresPerDay = 31
	TargetRestartsPerDay     = 570

	BudgetControlCorePercent = 3.5
	BudgetMemoryMB           = 256
	BudgetControlBytesPS     = 8_000
	BudgetConfigCallsPS      = 2_000 // calls per second, all readers together
	BudgetPropagationSecs    = 5     // until a change is in force on all processes

	secondsPerDay = 86_400
)
