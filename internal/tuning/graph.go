package tuning

// Limits of graph files and of the runs that are compiled from them.
const (
	// GraphFileMaxBytes is the maximum size of a graph file, in bytes. A file of 10,000 tasks takes about 2 MB.
	GraphFileMaxBytes = 4 << 20
	// GraphMaxValues is the maximum number of values in a graph file, with every YAML alias expanded. Without this
	// limit a short file of nested aliases could expand without bound.
	GraphMaxValues = 1 << 20
	// GraphMaxDepth is the maximum nesting depth of the values in a graph file.
	GraphMaxDepth = 64
	// GraphMaxTasks is the maximum number of jobs in a run; each instance of a mapped task counts.
	GraphMaxTasks = 20_000
	// GraphMaxDependencies is the maximum number of jobs that one job of a graph may depend on. The job's record
	// holds their ids, of 24 bytes each. Deferred jobs have no limit, because they are submitted without
	// dependencies.
	GraphMaxDependencies = 48
	// GraphTextMaxBytes is the maximum length of a rendered template, in bytes.
	GraphTextMaxBytes = 4096
)
