package tuning

// Graphs.
const (
	// GraphFileMaxBytes and GraphMaxValues bound a graph's file: ten thousand tasks take about 2 MB, and aliases
	// may not make more of it than that.
	GraphFileMaxBytes = 4 << 20
	GraphMaxValues    = 1 << 20
	// GraphMaxDepth is how many values of a file may stand within each other.
	GraphMaxDepth = 64
	// GraphMaxTasks is the most tasks that a run may have, mapped ones counted each.
	GraphMaxTasks = 20_000
	// GraphMaxDependencies is the most jobs that one of a graph may depend on: their ids, of 24 bytes each, stand
	// in its record.
	GraphMaxDependencies = 48
	// GraphTextMaxBytes is the longest text that a template may give, in bytes.
	GraphTextMaxBytes = 4096
)
