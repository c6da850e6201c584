package binpack

import (
	"sableusher/internal/record"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
)

// FailedRequests is a list of requests that fitted on no machine. A request that needs at least as
// much as one of them, and whose job may use no other machines, can't fit either; so the machines
// are examined only once for a long queue of similar jobs. The zero value is an empty list. At most
// tuning.FailedRequestsKept requests are kept; Add ignores further ones. It is not safe for
// concurrent use.
type FailedRequests []failedRequest

// failedRequest is what Covers compares of a request that did not fit.
type failedRequest struct {
	need record.Resources
	spec *wire.JobSpec
}

// Add records that a request did not fit.
func (f *FailedRequests) Add(request *Request) {
	if len(*f) < tuning.FailedRequestsKept && !f.Covers(request) {
		*f = append(*f, failedRequest{need: request.Need, spec: request.Spec})
	}
}

// Covers reports whether a recorded failure implies that the request can't fit either.
func (f FailedRequests) Covers(request *Request) bool {
	for _, failed := range f {
		if failed.need.FitsIn(request.Need) && atLeastAsStrict(request.Spec, failed.spec) {
			return true
		}
	}
	return false
}
