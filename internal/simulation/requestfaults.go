package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"sableusher/internal/wire"
)

// firstInvalidJob is the number of the first invalid job. Valid jobs have lower numbers, and jobs that are only queried
// and never submitted have higher ones (QueryUnknownJobs), so that their IDs don't collide.
const firstInvalidJob = 700_000

// requiredFields are the required fields of a submission, by their names on the wire.
var requiredFields = []string{
	"lot", "crew", "rig", "precedence", "hauls", "vcpus", "cards", "memory_gb", "tackle", "size_gb",
	"same_place", "spread", "standby", "reckon_s", "landfall_s", "stow_s",
}

// invalidRequests generates requests that are invalid or have no effect.
type invalidRequests struct {
	region *Region
	random *rand.Rand
}

// SendInvalidRequests makes users send invalid requests until a time. Users repeat submissions of unfinished jobs,
// cancel jobs that are done, and submit jobs that fit no machine, name an unknown team, have no machine in their zone,
// need more than their team's limit or lack a required field.
func (r *Region) SendInvalidRequests(ctx context.Context, until time.Time, seed uint64) {
	requests := invalidRequests{r, newRandom(seed, streamInvalidRequests)}
	r.wg.Go(func() {
		for n := 0; ctx.Err() == nil && time.Now().Before(until); n++ {
			time.Sleep(200*time.Millisecond + milliseconds(requests.random, 800))
			requests.sendOne(ctx, n)
		}
	})
}

// sendOne sends one random request.
func (q *invalidRequests) sendOne(ctx context.Context, number int) {
	checker := q.region.Checker
	if id := q.randomJobID(checker.OpenJobs()); id != "" && q.random.IntN(3) == 0 {
		spec, _ := checker.JobSpec(id)
		q.region.sendToAnyAndCheck(ctx, submitRequest(id, wire.MustEncode(spec)))
		return
	}
	if id := q.randomJobID(checker.DoneJobs()); id != "" && q.random.IntN(2) == 0 {
		q.region.sendToAnyAndCheck(ctx, cancelRequest(id))
		checker.Observe(ObservedCancelOfDoneJob, 1)
		return
	}
	q.submitInvalidJob(ctx, number)
}

// randomJobID returns a random job ID, or the empty string if there are none.
func (q *invalidRequests) randomJobID(ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	return ids[q.random.IntN(len(ids))]
}

// submitInvalidJob submits a job that must be rejected, checks the status of the response, and queries the job
// afterwards.
func (q *invalidRequests) submitInvalidJob(ctx context.Context, number int) {
	checker := q.region.Checker
	spec := wire.JobSpec{
		ID:          jobID(firstInvalidJob + number),
		Class:       "c",
		Team:        "open",
		Kind:        wire.KindArray,
		Priority:    wire.PriorityNormal,
		TaskCount:   1 + q.random.IntN(4),
		CPUs:        4,
		GPUs:        1,
		MemoryGB:    20,
		Image:       "img-0",
		ImageSizeGB: 2,
		JobTiming:   wire.JobTiming{RuntimeEstimateSeconds: 15},
	}
	// Change the encoded fields, as wire.JobSpec can't express that a required field is missing.
	var fields map[string]any
	if err := wire.Decode(wire.MustEncode(spec), &fields); err != nil {
		panic(err)
	}
	reason, wantStatus := q.invalidate(fields)
	checker.InvalidJobSubmitted(spec, reason)
	status := q.region.sendToAnyAndCheck(ctx, submitRequest(spec.ID, wire.MustEncode(fields))).status
	switch status {
	case wantStatus:
		checker.Observe(ObservedInvalidRequestRefused, 1)
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		checker.AddViolation(RuleProtocol,
			fmt.Sprintf("submission answered with status %d, although %s", status, reason))
	}
	poll := pollRequest(spec.ID)
	poll.timeout = submitTimeout
	q.region.sendToAnyAndCheck(ctx, poll)
}

// invalidate makes a submission invalid in a random way. It returns the reason and the status with which the
// submission must be answered.
func (q *invalidRequests) invalidate(fields map[string]any) (reason string, status int) {
	switch q.random.IntN(5) {
	case 0:
		fields["vcpus"] = 1000.0
		return "it fits no machine", http.StatusUnprocessableEntity
	case 1:
		fields["crew"] = "nobody"
		return "its team is unknown", http.StatusUnprocessableEntity
	case 2:
		fields["harbor"] = "nowhere"
		return "it fits no machine in its zone", http.StatusUnprocessableEntity
	case 3:
		fields["crew"], fields["rig"], fields["hauls"], fields["cards"] = "bound", wire.KindGang, 1000, 1.0
		return "it needs more than its team may have", http.StatusUnprocessableEntity
	default:
		field := requiredFields[q.random.IntN(len(requiredFields))]
		delete(fields, field)
		return "it lacks " + field, http.StatusBadRequest
	}
}

// SubmitShortJobs submits about four jobs of one task per second until a time, numbered from first on. Users cancel a
// quarter of them.
func (r *Region) SubmitShortJobs(ctx context.Context, first int, until time.Time, seed uint64) {
	random := newRandom(seed, streamShortJobs)
	r.wg.Go(func() {
		for n := first; ctx.Err() == nil && time.Now().Before(until); n++ {
			time.Sleep(150*time.Millisecond + milliseconds(random, 200))
			job := randomShortJob(n, random)
			r.Checker.Observe(ObservedShortJob, 1)
			r.wg.Go(func() { r.SimulateUser(ctx, job) })
		}
	})
}

// randomShortJob returns a job of one task that runs for 2 to 9 s.
func randomShortJob(number int, random *rand.Rand) userJob {
	spec := wire.JobSpec{
		ID:          jobID(number),
		Class:       "short",
		Team:        "open",
		Kind:        wire.KindArray,
		Priority:    wire.PriorityNormal,
		TaskCount:   1,
		CPUs:        2,
		MemoryGB:    8,
		Image:       "img-0",
		ImageSizeGB: 2,
		JobTiming:   wire.JobTiming{RuntimeEstimateSeconds: 6},
		AllowSpot:   true,
	}
	var cancelAfter time.Duration
	if random.IntN(4) == 0 {
		cancelAfter = time.Second + seconds(random, 12)
	}
	return userJob{spec: spec, runSeconds: float64(2 + random.IntN(8)), cancelAfter: cancelAfter}
}

// jobID returns the ID of a generated job.
func jobID(number int) string { return fmt.Sprintf("run-%06d", number) }
