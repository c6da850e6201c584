package tuning

import "time"

// Limits and timing of the exchange of jobs between cells.
const (
	// MaxCells is the maximum number of other cells in the operators' settings.
	MaxCells = 64
	// MaxCellNameBytes is the maximum length of a cell's name.
	MaxCellNameBytes = 32
	// CellExchangeInterval is the interval at which a leader exchanges messages with each other cell.
	CellExchangeInterval = time.Second
	// CellExchangeTimeout bounds one exchange with one cell.
	CellExchangeTimeout = 3 * time.Second
	// CellTransfersPerMessage is the maximum number of requests in a message, and of acknowledgements of results.
	// Statuses of ended transfers are added to a response up to twice this number. A message with that many
	// requests is about 50 KiB long.
	CellTransfersPerMessage = 48
	// MaxOffloadsPerExchange is the maximum number of jobs that are offloaded after each exchange of messages with
	// all other cells.
	MaxOffloadsPerExchange = 16
	// OffloadMinWait is how long a job must have been ready to start before it may be offloaded. Most jobs start
	// within this time.
	OffloadMinWait = 3 * time.Second
	// DigestImageHolderDivisor defines which images a digest lists: those that at least one in this many machines
	// of the cell holds.
	DigestImageHolderDivisor = 4
	// CellSuspectedAfter is how long a cell may be silent before no new jobs are offered to it. It spans a few
	// digests and is longer than the replacement of a leader takes.
	CellSuspectedAfter = 10 * time.Second
	// CellLostAfter is how long a cell may be silent before it counts as lost, so that operators may forget it and
	// its return lengthens its probation. It is long enough for the cell to restart all its controllers.
	CellLostAfter = time.Minute
	// CellProbation is how long a cell that returned must stay reachable before jobs are offered to it. It doubles
	// with each further return.
	CellProbation = 30 * time.Second
	// DigestMaxAge is the age above which a digest is not used to choose a cell.
	DigestMaxAge = 6 * time.Second
	// DigestMaxEntries is the maximum number of free capacities in a digest, and also of images. A free capacity
	// takes about 60 bytes.
	DigestMaxEntries = 24
	// OffloadGainShare is the minimum gain of an offload, as a share of the job's expected wait in this cell: the
	// job must be expected to start that much sooner in the other cell, all delays of the transfer included.
	OffloadGainShare = 0.25
	// MinOffloadGain is the minimum gain of an offload, however short the expected wait in this cell is.
	MinOffloadGain = 5 * time.Second
	// OffloadInFlightShare is the maximum share of the free capacity in a cell's digest that may be taken by tasks
	// offered since that digest. Other cells read the same digest and need the rest.
	OffloadInFlightShare = 0.5
)
