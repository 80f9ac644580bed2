package daemon

import (
	"runtime/debug"

	"eidertrail/internal/handover/runner"
)

const (
	// memoryLimitQuarters of four quarters are the Go runtime's limit: the rest is for stacks, the kernel's buffers and
	// what the collector has yet to free.
	memoryLimitQuarters, memoryQuarters = 3, 4
	bytesPerMBShift                     = 20
	// programMB are the resident pages of the program itself, which count for each process and not to the runtime's limit;
	// minRuntimeMB is what the runtime has at the least, where its part is that large: with less it collects without
	// pause.
	programMB, minRuntimeMB = 9, 12
	// gcPercent is the runtime's usual target, gcPercentHalved that of a process with half of the limits, which collects
	// sooner.
	gcPercent, gcPercentHalved = 100, 50
	// runtimeBaseMB is what the process holds beside the program's pages without a connection, callerBytes what a caller's
	// connection takes that sends the longest line, collected memory included. minCallers are accepted whatever is left.
	runtimeBaseMB = 3
	callerBytes   = 40 << 10
	minCallers    = 32
	// minSharedMemoryMB is the least limit that two processes keep to together under a crowd.
	minSharedMemoryMB = 40
	// processesPerController is how many processes share the limits while one replaces the other.
	processesPerController = 2
)

// limits are what this process may use of the controller's limits.
type limits struct {
	memoryMB int
	sockets  int
	calls    int // set up or established at a time
	callers  int // connections of callers; 0: as the descriptors allow
	halved   bool
}

// limits are all of the configuration's limits or, while two processes run, this one's part of them.
//
// Callers may hold a third of the descriptors, whichever process accepts them: that one has places for a third, and one
// that was replaced for half of that. One that does not accept yet needs none.
func (d *Daemon) limits(view runner.View) limits {
	total := limits{memoryMB: int(d.memoryMB.Load()), sockets: d.cfg.Sockets, calls: maxCalls}
	if !view.Halved {
		return total
	}
	part := limits{
		memoryMB: total.memoryMB / processesPerController,
		sockets:  total.sockets / processesPerController,
		calls:    total.calls / processesPerController,
		callers:  total.sockets / minCallersDivisor,
		halved:   true,
	}
	if view.SuccessorServes {
		part.callers /= processesPerController
	}
	return part
}

// divideLimits has every part of a daemon that runs keep to its part of the limits. Connections over them are closed,
// the idle ones before others, and what that frees goes back to the system.
func (d *Daemon) divideLimits(view runner.View) {
	available := d.limits(view)
	d.callers.SetMaxConnections(d.divideDescriptors(available).callers)
	if d.control != nil {
		d.control.SetMaxConnections(controlConnections(available))
	}
	if d.sockets != nil {
		d.sockets.SetMaxConnections(d.callControlConnections(available))
	}
	d.calls.SetMaxCalls(available.calls)
	d.dispatcher.SetProcesses(processCount(view))
	limitMemory(available)
	if view.Halved {
		d.warnOfSharedMemory()
		debug.FreeOSMemory()
	}
}

// warnOfSharedMemory says that two processes may pass the limit on memory: the program's own pages count for both.
func (d *Daemon) warnOfSharedMemory() {
	if memoryMB := d.memoryMB.Load(); memoryMB < minSharedMemoryMB {
		d.log.Warn().Int64("memory_mb", memoryMB).Int("least", minSharedMemoryMB).
			Str("remedy", "raise limits.memory_mb, or replace the process by a restart").
			Msg("little memory for two processes")
	}
}

// processCount is how many processes the controller consists of.
func processCount(view runner.View) int {
	if view.Halved {
		return processesPerController
	}
	return 1
}

// callersByMemory bounds the connections of callers by the memory that is left for them.
func callersByMemory(available limits) int {
	left := int64(available.memoryMB-programMB-runtimeBaseMB) << bytesPerMBShift
	return max(minCallers, int(left/callerBytes))
}

// callControlConnections bounds the sockets of the WebSocket front.
func (d *Daemon) callControlConnections(available limits) int {
	wanted := int(d.webSockets.Load())
	if available.sockets < d.cfg.Sockets {
		wanted /= processesPerController
	}
	return min(wanted, available.sockets/callControlDivisor)
}

// limitMemory sets the Go runtime's limit and how soon it collects.
func limitMemory(available limits) {
	debug.SetMemoryLimit(runtimeMemory(available))
	if available.halved {
		debug.SetGCPercent(gcPercentHalved)
	} else {
		debug.SetGCPercent(gcPercent)
	}
}

// runtimeMemory is the Go runtime's limit in bytes.
func runtimeMemory(available limits) int64 {
	part := int64(available.memoryMB) << bytesPerMBShift / memoryQuarters * memoryLimitQuarters
	beside := int64(available.memoryMB-programMB) << bytesPerMBShift
	return min(part, max(beside, minRuntimeMB<<bytesPerMBShift))
}
