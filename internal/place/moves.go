package place

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/world"
)

var moved = promauto.NewCounter(prometheus.CounterOpts{Name: "sableusher_records_moved_total", Help: "Steps in which old job records were split."})

// moveRecords brings old records that could outgrow the state service's limit into
// the new form: those that are waited for at once, the others in paced steps while
// the budget is free.
func (r *round) moveRecords() {
	if r.world.Level < tuning.LevelPipelines {
		return
	}
	fit, n := r.world.Fit(r.commit.Room()), 0
	move := func(id string) {
		delete(r.moves, id)
		j := r.world.Jobs[id]
		if j == nil || !j.Known || !j.Outgrows(fit) || r.busy[world.JobKey(id)] || n >= tuning.MoveRound {
			return
		}
		for k := range j.Chunks {
			if ed := r.edits[editKey{j, k}]; ed != nil && len(ed.tasks) > 0 || r.busy[j.Key(k)] {
				return
			}
		}
		guards, ops, ok := j.Move(fit, tuning.MoveRound)
		if !ok || len(ops) > r.commit.TxnOps() {
			r.waiting(j, "its records can't be split far enough", nil)
			return
		}
		n++
		moved.Inc()
		c := &change{what: "move records of " + id, late: true, item: store.Item{Guards: guards, Ops: ops}}
		for _, g := range guards {
			c.keys = append(c.keys, g.Key)
		}
		r.out = append(r.out, c)
	}
	for id := range r.moves {
		move(id)
	}
	if r.now.Sub(r.movedAt) < tuning.MoveGap || r.commit.Waiting() >= tuning.PressedItems {
		return
	}
	r.movedAt = r.now
	for id, j := range r.world.Jobs {
		if n >= tuning.MoveRound {
			break
		}
		if j.Known && j.Outgrows(fit) && r.now.Sub(time.UnixMilli(j.AtMs)) > tuning.MoveGap {
			if _, mine := r.tokens[r.first(j)]; mine {
				move(id)
			}
		}
	}
}
