package binpack

import (
	"math"

	"sableusher/internal/record"
)

// roundingTolerance, in cores, GPUs or GB, keeps TasksThatFit from rounding the count down by one when
// sums of fractions are inexact.
const roundingTolerance = 1e-6

// dimension is a pair of amounts of one resource: a part and the whole that it is compared to.
type dimension struct{ part, whole float64 }

// dimensions pairs the amounts of each resource.
func dimensions(part, whole record.Resources) [3]dimension {
	return [3]dimension{
		{part.CPUs, whole.CPUs},
		{part.GPUs, whole.GPUs},
		{part.MemoryGB, whole.MemoryGB},
	}
}

// FreeFraction returns the smallest free fraction of any resource, from 0 to 1. Resources without
// capacity are disregarded.
func FreeFraction(free, capacity record.Resources) float64 {
	fraction := 1.0
	for _, d := range dimensions(free, capacity) {
		if d.whole > 0 {
			fraction = min(fraction, d.part/d.whole)
		}
	}
	return max(fraction, 0)
}

// TasksThatFit returns how many tasks with the given need fit into the free resources, from 0 to
// math.MaxInt32.
func TasksThatFit(need, free record.Resources) int {
	count := math.MaxInt32
	for _, d := range dimensions(need, free) {
		if d.part > 0 {
			count = min(count, int((d.whole+roundingTolerance)/d.part))
		}
	}
	return max(count, 0)
}
