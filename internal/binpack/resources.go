package binpack

import (
	"math"

	"sableusher/internal/record"
)

// roundingTolerance keeps sums of fractions of cores and gigabytes from losing a task to rounding.
const roundingTolerance = 1e-6

// dimension is one kind of resource in two amounts, the first a part of the second.
type dimension struct{ part, whole float64 }

// dimensions pairs the amounts of each resource.
func dimensions(part, whole record.Resources) [3]dimension {
	return [3]dimension{
		{part.CPUs, whole.CPUs},
		{part.GPUs, whole.GPUs},
		{part.MemoryGB, whole.MemoryGB},
	}
}

// FreeFraction returns the free fraction of the machine's scarcest resource, from 0 to 1.
func FreeFraction(free, capacity record.Resources) float64 {
	fraction := 1.0
	for _, d := range dimensions(free, capacity) {
		if d.whole > 0 {
			fraction = min(fraction, d.part/d.whole)
		}
	}
	return max(fraction, 0)
}

// TasksThatFit returns how many tasks with a need fit into free resources, at most math.MaxInt32.
func TasksThatFit(need, free record.Resources) int {
	count := math.MaxInt32
	for _, d := range dimensions(need, free) {
		if d.part > 0 {
			count = min(count, int((d.whole+roundingTolerance)/d.part))
		}
	}
	return max(count, 0)
}
