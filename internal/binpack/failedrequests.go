package binpack

import (
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// FailedRequests are needs that found nothing on any machine they may use. What asks for as much
// or more, and may use no machine besides, finds nothing either, so that a long queue of
// like jobs looks at the fleet once. The zero value is empty; it holds tuning.FailedShapes.
type FailedRequests []failedRequest

type failedRequest struct {
	need record.Resources
	spec *wire.JobSpec
}

// Add remembers that an ask found nothing.
func (m *FailedRequests) Add(request *Request) {
	if len(*m) < tuning.FailedShapes && !m.Covers(request) {
		*m = append(*m, failedRequest{request.Need, request.Spec})
	}
}

// Covers tells whether an ask can't find anything after what was missed before.
func (m FailedRequests) Covers(request *Request) bool {
	for _, f := range m {
		if f.need.FitsIn(request.Need) && atLeastAsStrict(request.Spec, f.spec) {
			return true
		}
	}
	return false
}
