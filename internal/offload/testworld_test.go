package offload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/federation"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

var errMessageLost = errors.New("message lost")

// Lengths of the phases of a run.
const (
	joinSeconds    = 45 // until the cells offer jobs to each other
	troubleSeconds = 120
	jobsPerRun     = 12
	quietSeconds   = 300 // at most, until all jobs have ended
	cleanupSeconds = 30  // until nothing is left of them in the other cell
)

// events counts what happened in runs.
type events struct {
	lostRequests, lostAnswers, doubledRequests, lateRequests, lateAnswers int
	delayedCommits, unansweredCommits, restarts, elections                int
	accepted, returned, endedElsewhere, cancelled                         int
}

// jobTruth is what really happened to a job.
type jobTruth struct {
	runningIn map[string]bool // cells
	ran       bool            // to its end
	finals    []wire.JobState // as written at its home
}

// sentMessage is a request that may arrive again.
type sentMessage struct {
	to      string
	message Message
}

// testWorld is two cells, the messages between them, and what really happens to their jobs. Its network loses,
// doubles and delays messages both ways.
type testWorld struct {
	cells             []*testCell
	random            *rand.Rand
	troubled          bool
	ignoredConditions string // prefix of the keys whose conditions the drivers' transactions lack
	jobIDs            []string
	truth             map[string]*jobTruth
	requests          []sentMessage
	answers           map[string]Message // the last one of each cell
	violation         string             // the first
	seen              *events
}

func newTestWorld(seed uint64, ignoredConditions string, seen *events) *testWorld {
	w := &testWorld{
		random:            rand.New(rand.NewPCG(seed, 1)),
		ignoredConditions: ignoredConditions,
		truth:             map[string]*jobTruth{},
		answers:           map[string]Message{},
		seen:              seen,
	}
	w.cells = []*testCell{newTestCell(w, "a", "b"), newTestCell(w, "b", "a")}
	return w
}

// trouble draws whether a trouble of some probability happens now, and counts it.
func (w *testWorld) trouble(count *int, probability float64) bool {
	if !w.troubled || w.random.Float64() >= probability {
		return false
	}
	*count++
	return true
}

func (w *testWorld) cell(name string) *testCell {
	if w.cells[0].name == name {
		return w.cells[0]
	}
	return w.cells[1]
}

// Exchange implements Transport.
func (w *testWorld) Exchange(ctx context.Context, to config.Cell, message Message) (Message, error) {
	if w.troubled {
		w.requests = append(w.requests, sentMessage{to: to.Name, message: message})
	}
	if w.trouble(&w.seen.lostRequests, 0.15) {
		return Message{}, errMessageLost
	}
	if w.trouble(&w.seen.doubledRequests, 0.1) {
		_, _ = w.deliver(ctx, to.Name, message)
	}
	answer, err := w.deliver(ctx, to.Name, message)
	if err != nil {
		return Message{}, err
	}
	if w.trouble(&w.seen.lostAnswers, 0.15) {
		return Message{}, errMessageLost
	}
	earlier, known := w.answers[to.Name]
	w.answers[to.Name] = answer
	if known && w.trouble(&w.seen.lateAnswers, 0.1) {
		return earlier, nil
	}
	return answer, nil
}

// deliver carries a message to a cell and its answer back.
func (w *testWorld) deliver(ctx context.Context, to string, message Message) (Message, error) {
	var received, returned Message
	if err := wire.Decode(wire.MustEncode(message), &received); err != nil {
		return Message{}, err
	}
	answer, err := w.cell(to).offloader.Answer(ctx, received)
	if err != nil {
		return Message{}, err
	}
	err = wire.Decode(wire.MustEncode(answer), &returned)
	return returned, err
}

// step lets a second pass.
func (w *testWorld) step(ctx context.Context, startLocally float64) {
	time.Sleep(time.Second)
	for _, cell := range w.cells {
		if !w.troubled || w.random.Float64() < 0.7 {
			cell.store.refresh(cell.state)
		}
		if !w.troubled || w.random.Float64() < 0.3 {
			cell.executeDelayed()
		}
		if w.trouble(&w.seen.restarts, 0.02) {
			cell.restart()
		}
		if w.trouble(&w.seen.elections, 0.02) {
			cell.elect()
		}
		cell.offloader.runOnce(ctx)
		cell.runScheduler(w.random, startLocally)
	}
	if len(w.requests) > 0 && w.trouble(&w.seen.lateRequests, 0.3) {
		late := w.requests[w.random.IntN(len(w.requests))]
		_, _ = w.deliver(ctx, late.to, late.message)
	}
	w.checkRights()
}

// actAsUsers submits a job to a cell, or cancels or recalls one.
func (w *testWorld) actAsUsers() {
	cell := w.cells[w.random.IntN(len(w.cells))]
	if len(w.jobIDs) < jobsPerRun && w.random.IntN(3) == 0 {
		w.addJob(cell)
	}
	if len(w.jobIDs) == 0 {
		return
	}
	job := cell.state.Jobs[w.jobIDs[w.random.IntN(len(w.jobIDs))]]
	if job == nil || !job.HasRecord || job.OffloadedFrom != nil {
		return
	}
	switch {
	case !job.Cancelled() && w.random.IntN(15) == 0:
		cell.edit(job, cancelNow)
	case job.OffloadedTo != nil && w.random.IntN(5) == 0:
		cell.edit(job, recallOffloaded)
	}
}

// addJob submits a job to a cell.
func (w *testWorld) addJob(cell *testCell) {
	id := fmt.Sprintf("run-%02d", len(w.jobIDs))
	w.jobIDs = append(w.jobIDs, id)
	w.truth[id] = &jobTruth{runningIn: map[string]bool{}}
	cell.submitJob(id)
}

// violate notes the first violation of a rule.
func (w *testWorld) violate(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// noteTask notes that a job's task was started or ended in a cell.
func (w *testWorld) noteTask(cell, id string, state record.TaskState) {
	truth := w.truth[id]
	if state != record.TaskBound {
		delete(truth.runningIn, cell)
		truth.ran = truth.ran || state == record.TaskDone
		return
	}
	truth.runningIn[cell] = true
	if len(truth.runningIn) > 1 {
		w.violate("%s runs in two cells", id)
	}
	if truth.ran || len(truth.finals) > 0 {
		w.violate("%s starts after its end", id)
	}
}

// checkWritten holds a record that was written to the rules; before are the records of jobs that the transaction
// replaced or deleted, by key.
func (w *testWorld) checkWritten(cell *testCell, key string, before map[string]record.Job) {
	if job, ok := cell.storedJob(key); ok {
		previous, known := before[key]
		if job.OffloadedFrom != nil && !known {
			w.seen.accepted++
		}
		if previous.OffloadedTo != nil && job.OffloadedTo == nil {
			w.seen.returned++
		}
		return
	}
	for id := range w.truth {
		if key == record.FinalKey(id) {
			if before[record.JobKey(id)].OffloadedTo != nil {
				w.seen.endedElsewhere++
			}
			w.checkFinal(cell, key, id)
		}
	}
}

// checkFinal holds the end of a job, as its home has it now, to the rules.
func (w *testWorld) checkFinal(cell *testCell, key, id string) {
	var final record.Final
	if err := wire.Decode(cell.store.values[key].value, &final); err != nil {
		panic(err)
	}
	truth := w.truth[id]
	truth.finals = append(truth.finals, final.Status)
	switch {
	case len(truth.finals) > 1:
		w.violate("%s ended twice: %v", id, truth.finals)
	case len(truth.runningIn) > 0:
		w.violate("%s ended as %v while it runs in %v", id, final.Status, truth.runningIn)
	case final.Status == wire.JobDone && !truth.ran:
		w.violate("%s ended as done and did not run", id)
	}
	if final.Status == wire.JobCancelled {
		w.seen.cancelled++
	}
}

// checkRights checks that at most one cell holds the right to start each job, by the records as they are stored.
func (w *testWorld) checkRights() {
	for _, id := range w.jobIDs {
		holders := 0
		for _, cell := range w.cells {
			if job, ok := cell.storedJob(record.JobKey(id)); ok && job.OffloadedTo == nil {
				holders++
			}
		}
		if holders > 1 || holders > 0 && len(w.truth[id].finals) > 0 {
			w.violate("%s may be started by %d cells, its ends: %v", id, holders, w.truth[id].finals)
		}
	}
}

// allEnded tells whether every job has ended.
func (w *testWorld) allEnded() bool {
	for _, truth := range w.truth {
		if len(truth.finals) == 0 {
			return false
		}
	}
	return true
}

// checkJoined checks that both cells accept offers.
func (w *testWorld) checkJoined() {
	for _, cell := range w.cells {
		for name, other := range cell.state.Cells {
			if federation.Standing(other.Standing) != federation.StandingJoined {
				w.violate("%s is %v to %s", name, federation.Standing(other.Standing), cell.name)
			}
		}
	}
}

// checkNothingLeft checks that no record of a job is left but its final one.
func (w *testWorld) checkNothingLeft() {
	for _, cell := range w.cells {
		for key := range cell.store.values {
			if strings.HasPrefix(key, record.JobPrefix) || strings.HasPrefix(key, record.GuestOutcomePrefix) {
				w.violate("%s is left in %s", key, cell.name)
			}
		}
	}
}

// run plays all phases and returns the first violation, or "".
func (w *testWorld) run(t *testing.T) string {
	t.Helper()
	ctx := t.Context()
	for range joinSeconds {
		w.step(ctx, 0)
	}
	w.checkJoined()
	w.troubled = true
	for range troubleSeconds {
		w.actAsUsers()
		w.step(ctx, 0.02)
	}
	w.troubled = false
	for range quietSeconds {
		if w.allEnded() {
			break
		}
		w.step(ctx, 0.1)
	}
	if !w.allEnded() {
		w.violate("not all jobs have ended after %d s without trouble", quietSeconds)
	}
	for range cleanupSeconds {
		w.step(ctx, 0.1)
	}
	w.checkNothingLeft()
	return w.violation
}
