package fit

import (
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// Misses are needs that found nothing on any machine they may use. What asks for as much
// or more, and may use no machine besides, finds nothing either, so that a long queue of
// like jobs looks at the fleet once. The zero value is empty; it holds tuning.FailedShapes.
type Misses []miss

type miss struct {
	need world.Amount
	spec *wire.Spec
}

// Add remembers that an ask found nothing.
func (m *Misses) Add(a *Ask) {
	if len(*m) < tuning.FailedShapes && !m.Cover(a) {
		*m = append(*m, miss{a.Need, a.Spec})
	}
}

// Cover tells whether an ask can't find anything after what was missed before.
func (m Misses) Cover(a *Ask) bool {
	for _, f := range m {
		if f.need.Within(a.Need) && stricter(a.Spec, f.spec) {
			return true
		}
	}
	return false
}
