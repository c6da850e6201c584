package scheduler

import (
	"maps"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/clusterstate"
	"sableusher/internal/tuning"
)

var tasksWithoutSpace = promauto.NewGauge(prometheus.GaugeOpts{
	Name: "sableusher_record_full_tasks",
	Help: "Tasks that wait because their job's record has no space for a binding and can't be split.",
})

// chunkNarrowings holds the jobs whose chunks have no space for a further binding. Either the chunks are going to be
// replaced by narrower ones, or their pending tasks wait until a task of the same chunk ends.
type chunkNarrowings struct {
	requestedAt map[string]time.Time // by ID of a job whose chunks are to be narrowed
	// lastRequest holds, by job ID, when the narrowing was last requested. It limits the rate of attempts that fail
	// because other nodes write the same records.
	lastRequest map[string]time.Time
	full        map[string]map[int]fullChunk // by job ID and chunk
}

// fullChunk is a chunk that had no space for a further binding.
type fullChunk struct {
	modRevision uint64    // of its record at that time
	foundAt     time.Time // when that was found
}

func newChunkNarrowings() chunkNarrowings {
	return chunkNarrowings{
		requestedAt: map[string]time.Time{}, lastRequest: map[string]time.Time{}, full: map[string]map[int]fullChunk{},
	}
}

// requested reports whether the chunks of a job are to be narrowed. Until then they must not be written otherwise.
func (n *chunkNarrowings) requested(jobID string) bool {
	_, requested := n.requestedAt[jobID]
	return requested
}

// request requests the narrowing of a job's chunks. It reports false if that was requested only a short time ago.
func (n *chunkNarrowings) request(jobID string, now time.Time) bool {
	if now.Sub(n.lastRequest[jobID]) < tuning.NarrowingInterval {
		return false
	}
	n.requestedAt[jobID], n.lastRequest[jobID] = now, now
	return true
}

// finish drops the request for a job.
func (n *chunkNarrowings) finish(jobID string) { delete(n.requestedAt, jobID) }

// addFull records that a chunk of a job is full. It is looked at again when its record has changed, and every
// tuning.FullChunkRecheckInterval, because narrowing may have become possible.
func (n *chunkNarrowings) addFull(jobID string, chunk int, full fullChunk) {
	if n.full[jobID] == nil {
		n.full[jobID] = map[int]fullChunk{}
	}
	n.full[jobID][chunk] = full
}

// prune drops the requests that could not be carried out in time, so that other changes of the records are possible
// again, and the state of jobs that have ended.
func (n *chunkNarrowings) prune(now time.Time, hasEnded func(jobID string) bool) {
	maps.DeleteFunc(n.requestedAt, func(id string, at time.Time) bool {
		return hasEnded(id) || now.Sub(at) >= tuning.NarrowingTimeout
	})
	maps.DeleteFunc(n.lastRequest, func(id string, _ time.Time) bool { return hasEnded(id) })
	maps.DeleteFunc(n.full, func(id string, chunks map[int]fullChunk) bool {
		maps.DeleteFunc(chunks, func(_ int, full fullChunk) bool {
			return now.Sub(full.foundAt) >= tuning.FullChunkRecheckInterval
		})
		return hasEnded(id) || len(chunks) == 0
	})
}

// narrowOrWait decides what happens to the pending tasks of a chunk that has no space for a further binding. It
// requests that the job's chunks are replaced by narrower ones, and reports whether they are going to be. If that is
// not possible, the tasks wait.
func (c *cycle) narrowOrWait(job *clusterstate.Job, chunk int) (narrowing bool) {
	id := job.Spec.ID
	if c.narrowings.requested(id) {
		return true
	}
	if _, possible := c.narrowedChunks(job); possible {
		c.logWaiting(job, waitRecordSplit, nil)
		return c.narrowings.request(id, c.now)
	}
	c.logWaiting(job, waitRecordFull, nil)
	c.narrowings.addFull(id, chunk, fullChunk{modRevision: job.ChunkModRevision(chunk), foundAt: c.now})
	return false
}

// narrowedChunks returns the migration of a job's chunks to narrower ones, or false if that is not possible now.
func (c *cycle) narrowedChunks(job *clusterstate.Job) (step clusterstate.Migration, possible bool) {
	conditions, possible := c.cluster.NarrowingConditions(c.settings.NodeNames())
	if !possible {
		return clusterstate.Migration{}, false
	}
	sizes, maxOps := c.cluster.SizeLimits(c.committer.MaxRecordBytes()), c.committer.MaxTransactionOps()
	step, possible = job.NarrowChunks(sizes, clusterstate.TransactionLimits{
		Ops: maxOps, Conditions: maxOps*tuning.TxnConditionsPerOp - len(conditions), Bytes: tuning.TxnMaxBytes,
	})
	step.Conditions = append(step.Conditions, conditions...)
	return step, possible
}

// tasksInFullChunks returns the number of a job's pending tasks whose chunks have no space for them. No machine helps
// them.
func (c *cycle) tasksInFullChunks(job *clusterstate.Job) int {
	count := 0
	full := c.narrowings.full[job.Spec.ID]
	for chunk := range full {
		if chunk >= job.ChunkCount() || job.ChunkModRevision(chunk) != full[chunk].modRevision {
			delete(full, chunk)
			continue
		}
		count += job.ChunkPendingCount(chunk)
	}
	return count
}

// reportFullChunks updates the metric of the tasks that wait because of full records.
func (c *cycle) reportFullChunks() {
	tasks := 0
	for id := range c.narrowings.full {
		if job := c.cluster.Jobs[id]; job != nil && job.HasRecord {
			tasks += c.tasksInFullChunks(job)
		}
	}
	tasksWithoutSpace.Set(float64(tasks))
}
