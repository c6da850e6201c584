package tuning

import "time"

// Cells.
const (
	// MaxCells bounds the other cells of the operators' file, MaxCellNameBytes their names, in bytes.
	MaxCells         = 64
	MaxCellNameBytes = 32
	// CellExchangeInterval is the interval at which a leader exchanges messages with each other cell,
	// CellExchangeTimeout how long that may take, CellTransfersPerMessage how many transfers one message is about:
	// some 50 KiB.
	CellExchangeInterval    = time.Second
	CellExchangeTimeout     = 3 * time.Second
	CellTransfersPerMessage = 48
	// OffloadsPerReview bounds the jobs that one review offloads, OffloadMinWait is how long a job stays first:
	// most start within it.
	OffloadsPerReview = 16
	OffloadMinWait    = 3 * time.Second
	// DigestImageHolderDivisor is the reciprocal of the share of machines that must hold an image for it to count
	// as held in a cell.
	DigestImageHolderDivisor = 4
	// CellSuspectedAfter is for how long a cell may not be heard before nothing new is offloaded to it: a few
	// digests, and longer than a leader takes to be replaced.
	CellSuspectedAfter = 10 * time.Second
	// CellLostAfter is for how long it may not be heard before what was about to be offloaded to it goes elsewhere:
	// all controllers may have been restarted meanwhile.
	CellLostAfter = time.Minute
	// CellProbation is how long a cell that returned is watched first.
	CellProbation = 30 * time.Second
	// DigestMaxAge is how old a digest may be to be chosen by.
	DigestMaxAge = 6 * time.Second
	// DigestMaxShapes bounds the shapes of free capacity that a digest lists, of which each takes some 60 bytes.
	DigestMaxShapes = 24
	// OffloadGainShare is how much sooner a job must be expected to start elsewhere, all costs counted, to be
	// offloaded: a share of its wait here, and never less than MinOffloadGain.
	OffloadGainShare = 0.25
	MinOffloadGain   = 5 * time.Second
	// OffloadInFlightShare bounds the tasks that are offered to one cell and not yet answered, as a share of the
	// capacity that its digest lists.
	OffloadInFlightShare = 0.5
)
