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
	joinSeconds    = 45  // without jobs, for the cells to join each other
	faultSeconds   = 120 // with jobs and faults
	jobsPerRun     = 12  // jobs submitted in that phase at most
	quietSeconds   = 300 // without faults, until all jobs have ended; an upper bound
	cleanupSeconds = 30  // for both cells to delete the remaining records of the jobs
)

// events counts the faults and job events of all runs.
type events struct {
	lostRequests, lostResponses, duplicatedRequests, lateRequests, lateResponses int
	delayedCommits, unansweredCommits, restarts, elections                       int
	accepted, returned, endedElsewhere, cancelled                                int
}

// jobTruth is the actual history of a job, independent of the records of the cells.
type jobTruth struct {
	runningIn map[string]bool // names of the cells that run its task
	ran       bool            // its task has run to its end
	finals    []wire.JobState // states of the final records written at its home
}

// sentMessage is a message that was sent and may arrive again.
type sentMessage struct {
	to      string
	message Message
}

// testWorld simulates two cells, the messages between them and the actual history of their jobs. Its network loses
// and delays messages and responses, and duplicates messages.
type testWorld struct {
	cells             []*testCell
	random            *rand.Rand
	faultsEnabled     bool
	ignoredConditions string // prefix of the keys whose conditions are removed from the Offloaders' transactions
	jobIDs            []string
	truth             map[string]*jobTruth
	requests          []sentMessage
	responses         map[string]Message // last response of each cell
	violation         string             // the first violation of a rule
	seen              *events
}

func newTestWorld(seed uint64, ignoredConditions string, seen *events) *testWorld {
	w := &testWorld{
		random:            rand.New(rand.NewPCG(seed, 1)),
		ignoredConditions: ignoredConditions,
		truth:             map[string]*jobTruth{},
		responses:         map[string]Message{},
		seen:              seen,
	}
	w.cells = []*testCell{newTestCell(w, "a", "b"), newTestCell(w, "b", "a")}
	return w
}

// injectFault reports whether a fault happens now, by its probability, and counts it. It returns false while faults
// are disabled.
func (w *testWorld) injectFault(count *int, probability float64) bool {
	if !w.faultsEnabled || w.random.Float64() >= probability {
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
	if w.faultsEnabled {
		w.requests = append(w.requests, sentMessage{to: to.Name, message: message})
	}
	if w.injectFault(&w.seen.lostRequests, 0.15) {
		return Message{}, errMessageLost
	}
	if w.injectFault(&w.seen.duplicatedRequests, 0.1) {
		_, _ = w.deliver(ctx, to.Name, message)
	}
	response, err := w.deliver(ctx, to.Name, message)
	if err != nil {
		return Message{}, err
	}
	if w.injectFault(&w.seen.lostResponses, 0.15) {
		return Message{}, errMessageLost
	}
	earlier, known := w.responses[to.Name]
	w.responses[to.Name] = response
	if known && w.injectFault(&w.seen.lateResponses, 0.1) {
		return earlier, nil
	}
	return response, nil
}

// deliver delivers a message to a cell and returns the response. Both are encoded and decoded on the way.
func (w *testWorld) deliver(ctx context.Context, to string, message Message) (Message, error) {
	var received, returned Message
	if err := wire.Decode(wire.MustEncode(message), &received); err != nil {
		return Message{}, err
	}
	response, err := w.cell(to).offloader.HandleMessage(ctx, received)
	if err != nil {
		return Message{}, err
	}
	err = wire.Decode(wire.MustEncode(response), &returned)
	return returned, err
}

// step advances the simulation by one second.
func (w *testWorld) step(ctx context.Context, startLocally float64) {
	time.Sleep(time.Second)
	for _, cell := range w.cells {
		if !w.faultsEnabled || w.random.Float64() < 0.7 {
			cell.store.refresh(cell.state)
		}
		if !w.faultsEnabled || w.random.Float64() < 0.3 {
			cell.executeDelayed()
		}
		if w.injectFault(&w.seen.restarts, 0.02) {
			cell.restart()
		}
		if w.injectFault(&w.seen.elections, 0.02) {
			cell.elect()
		}
		cell.offloader.runOnce(ctx)
		cell.runScheduler(w.random, startLocally)
	}
	if len(w.requests) > 0 && w.injectFault(&w.seen.lateRequests, 0.3) {
		late := w.requests[w.random.IntN(len(w.requests))]
		_, _ = w.deliver(ctx, late.to, late.message)
	}
	w.checkRights()
}

// actAsUsers randomly submits a job to a cell, and cancels or recalls a job.
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
		cell.edit(job, markCancelled)
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

// recordViolation records a violation of a rule if it is the first one.
func (w *testWorld) recordViolation(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// recordTaskState records that a job's task was started or ended in a cell, and checks the start.
func (w *testWorld) recordTaskState(cell, id string, state record.TaskState) {
	truth := w.truth[id]
	if state != record.TaskBound {
		delete(truth.runningIn, cell)
		truth.ran = truth.ran || state == record.TaskDone
		return
	}
	truth.runningIn[cell] = true
	if len(truth.runningIn) > 1 {
		w.recordViolation("%s runs in two cells", id)
	}
	if truth.ran || len(truth.finals) > 0 {
		w.recordViolation("%s starts after it has ended", id)
	}
}

// checkWritten checks a written record and counts the event that it reflects. before holds the records of jobs that
// the transaction replaced or deleted, by key.
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

// checkFinal checks the final record of a job, which its home has just written.
func (w *testWorld) checkFinal(cell *testCell, key, id string) {
	var final record.Final
	if err := wire.Decode(cell.store.values[key].value, &final); err != nil {
		panic(err)
	}
	truth := w.truth[id]
	truth.finals = append(truth.finals, final.Status)
	switch {
	case len(truth.finals) > 1:
		w.recordViolation("%s ended twice: %v", id, truth.finals)
	case len(truth.runningIn) > 0:
		w.recordViolation("%s ended as %v while it still runs in %v", id, final.Status, truth.runningIn)
	case final.Status == wire.JobDone && !truth.ran:
		w.recordViolation("%s ended as done without having run", id)
	}
	if final.Status == wire.JobCancelled {
		w.seen.cancelled++
	}
}

// checkRights checks, by the stored records, that at most one cell holds the right to start each job, and none after
// the job has ended.
func (w *testWorld) checkRights() {
	for _, id := range w.jobIDs {
		holders := 0
		for _, cell := range w.cells {
			if job, ok := cell.storedJob(record.JobKey(id)); ok && job.OffloadedTo == nil {
				holders++
			}
		}
		if holders > 1 || holders > 0 && len(w.truth[id].finals) > 0 {
			w.recordViolation("%s may be started by %d cells; its final states are %v", id, holders, w.truth[id].finals)
		}
	}
}

// allEnded reports whether every job has ended.
func (w *testWorld) allEnded() bool {
	for _, truth := range w.truth {
		if len(truth.finals) == 0 {
			return false
		}
	}
	return true
}

// checkJoined checks that each cell has the other one as joined.
func (w *testWorld) checkJoined() {
	for _, cell := range w.cells {
		for name, other := range cell.state.Cells {
			if federation.Standing(other.Standing) != federation.StandingJoined {
				w.recordViolation("standing of cell %s is %v in cell %s",
					name, federation.Standing(other.Standing), cell.name)
			}
		}
	}
}

// checkNothingLeft checks that no records of jobs are left other than final ones.
func (w *testWorld) checkNothingLeft() {
	for _, cell := range w.cells {
		for key := range cell.store.values {
			if strings.HasPrefix(key, record.JobPrefix) || strings.HasPrefix(key, record.TransferOutcomePrefix) {
				w.recordViolation("record %s is left in cell %s", key, cell.name)
			}
		}
	}
}

// run simulates all phases and returns the first violation of a rule, or "" if there is none.
func (w *testWorld) run(t *testing.T) string {
	t.Helper()
	ctx := t.Context()
	for range joinSeconds {
		w.step(ctx, 0)
	}
	w.checkJoined()
	w.faultsEnabled = true
	for range faultSeconds {
		w.actAsUsers()
		w.step(ctx, 0.02)
	}
	w.faultsEnabled = false
	for range quietSeconds {
		if w.allEnded() {
			break
		}
		w.step(ctx, 0.1)
	}
	if !w.allEnded() {
		w.recordViolation("not all jobs have ended after %d s without faults", quietSeconds)
	}
	for range cleanupSeconds {
		w.step(ctx, 0.1)
	}
	w.checkNothingLeft()
	return w.violation
}
