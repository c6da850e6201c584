package place

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/fit"
	"sableusher/internal/fleet"
	"sableusher/internal/learn"
	"sableusher/internal/store"
	"sableusher/internal/tuning"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// attempt names one start of a task.
type attempt struct {
	ref world.TaskRef
	n   uint64
}

// values is what the engine keeps for the learner: decisions whose payoff is
// due, run times, and the two sides of utilization.
type values struct {
	learner *learn.Learner
	runs    *learn.Estimates
	open    map[attempt]int64
	began   map[attempt]time.Time

	finished float64 // run time of completed tasks, in machine seconds, fading
	paid     float64 // time of machines held, fading
	last     time.Time
	recent   float64 // responsiveness of late, fading
}

// utilization is the finished share of the machine time paid for.
func (v *values) utilization() float64 {
	if v.paid <= 0 {
		return 0
	}
	return min(1, v.finished/v.paid)
}

// Payoff mixes responsiveness and utilization.
func (e *Engine) payoff(responsiveness float64) float64 {
	return e.operator.Lambda*responsiveness + (1-e.operator.Lambda)*e.learning.utilization()
}

// clock moves utilization's paid side on; machines of this node's parts count.
func (r *round) clock() {
	v := &r.learning
	if !v.last.IsZero() {
		dt := r.now.Sub(v.last)
		fade := math.Pow(0.5, dt.Seconds()/tuning.UtilizationFade.Seconds())
		held := 0
		for p := range r.stamps {
			held += len(r.cluster.MachinesByShard[p])
		}
		v.finished, v.paid = v.finished*fade, v.paid*fade+float64(held)*dt.Seconds()
	}
	v.last = r.now
}

// alive notes when a task began to run, and pays a service's start once it has
// run for a while: it never completes.
func (r *round) alive(b world.Binding, t fleet.TaskObservation) {
	if t.State != wire.TaskRunning {
		return
	}
	k := attempt{b.Ref, b.Attempt}
	if _, ok := r.learning.began[k]; !ok {
		r.learning.began[k] = t.Since
	}
	if id, ok := r.learning.open[k]; ok && b.Job.Spec.Kind == wire.KindService && r.now.Sub(t.Since) > tuning.ServicePayoff {
		waited := t.Since.Sub(b.Job.ReadySince()).Seconds()
		ran := tuning.ServicePayoff.Seconds()
		r.pay(id, k, ran/(ran+max(0, waited)))
	}
}

// ended pays the start of a task that left its machine. Responsiveness is run
// time over run time plus all other time since submission; a start that did not
// lead to the end has none of it.
func (r *round) ended(b world.Binding, done bool, machine string) {
	k := attempt{b.Ref, b.Attempt}
	began, ran := r.learning.began[k]
	delete(r.learning.began, k)
	spec := &b.Job.Spec
	responsiveness := 0.0
	if done && ran {
		run := r.now.Sub(began).Seconds()
		total := max(run, r.now.Sub(b.Job.ReadySince()).Seconds())
		if total > 0 {
			responsiveness = run / total
		}
		if m := r.cluster.Machines[machine]; m != nil {
			if typ, ok := r.cluster.Types[m.Type]; ok {
				c := world.Capacity(&typ)
				r.learning.finished += run * (1 - fit.FreeFraction(c.AddTimes(world.TaskResources(spec), -1), c))
			}
		}
		if b.Attempt == 1 { // a later attempt may have resumed saved work
			r.learning.runs.Completed(spec.Class, run, spec.RuntimeEstimateSeconds)
		}
	}
	if id, ok := r.learning.open[k]; ok {
		r.pay(id, k, responsiveness)
	}
}

func (r *round) pay(id int64, k attempt, responsiveness float64) {
	delete(r.learning.open, k)
	r.learning.recent += (responsiveness - r.learning.recent) / 16
	p := r.payoff(responsiveness)
	r.learning.learner.Pay(id, p)
	r.log.Debug("payoff", "task", k.ref, "responsiveness", responsiveness, "utilization", r.learning.utilization(), "payoff", p)
}

// pulled is what the jobs that need one ask of it: the highest of their
// priorities, and by when it should be over for them to meet their deadlines.
type pulled struct {
	rank int
	by   time.Time
}

// pulled follows the jobs that need one, directly or through others; those that
// are cancelled ask nothing any more. It reads records only, so that all nodes
// find the same but for their estimates of what lies between.
func (r *round) pulled(id string) pulled {
	out := pulled{rank: wire.PriorityCount}
	waiters := r.cluster.Dependents(id)
	if len(waiters) == 0 {
		return out
	}
	if known, ok := r.pulls[id]; ok {
		return known
	}
	for w := range waiters {
		j := r.cluster.Jobs[w]
		if j == nil || !j.HasRecord || j.Cancelled() || j.DependencyCancelled {
			continue
		}
		up := r.pulled(w)
		out.rank = min(out.rank, up.rank, wire.PriorityRank(j.Spec.Priority))
		own, _ := r.reachable(r.cutoffs(j), r.run(j))
		if by := earlier(up.by, own); !by.IsZero() {
			out.by = earlier(out.by, by.Add(-r.run(j)))
		}
	}
	if r.pulls == nil {
		r.pulls = map[string]pulled{}
	}
	r.pulls[id] = out
	return out
}

// earlier gives the earlier of two times, of which either may be none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// rank is a job's priority, raised to that of a job that needs it. Production
// stays for services that users watch: what only leads to something is never
// above high, so that a long pipeline can't push them aside.
func (r *round) rank(j *world.Job) int {
	return min(wire.PriorityRank(j.Spec.Priority), max(r.pulled(j.Spec.ID).rank, wire.PriorityRank(wire.PriorityHigh)))
}

// state describes what this round chooses in.
func (r *round) state() learn.State {
	s := learn.State{Shares: map[string]float64{}, NextFreeS: math.Inf(1)}
	waiting := 0.0
	for _, j := range r.cluster.Jobs {
		if !j.CanStart() {
			continue
		}
		run := r.learning.runs.RunS(j.Spec.Class, j.Spec.RuntimeEstimateSeconds)
		// Half of a task's run time is left on average.
		s.RunningS += float64(j.BoundCount) * run / 2
		if j.BoundCount > 0 && run > 0 {
			s.NextFreeS = min(s.NextFreeS, run/2/float64(j.BoundCount))
		}
		if n := float64(j.PendingCount()); n > 0 {
			s.BacklogS += n * run
			s.Shares[j.Spec.Team]++
			waiting++
		}
	}
	for team := range s.Shares {
		s.Shares[team] /= waiting
	}
	for _, m := range r.cluster.Machines {
		if m.Up && len(m.Bindings) == 0 {
			s.Idle++
		}
	}
	if s.Idle > 0 || math.IsInf(s.NextFreeS, 1) {
		s.NextFreeS = 0
	}
	return s
}

// byValue puts the first of the jobs in line in the order of their learned values, within
// what value never crosses: priority, guarantee and danger. Values are asked for only
// if there is room to start any, and while the learner is cold not at all.
func (r *round) byValue(list []due, room bool) {
	if !room || !r.operator.Learn || len(list) == 0 || !r.learning.learner.Warm() {
		return
	}
	first := list[:min(len(list), tuning.LearnCandidates)]
	for i := range first {
		d := &first[i]
		v, ok := r.cachedValues[d.job.Spec.ID]
		if !ok || r.now.Sub(v.computedAt) > tuning.ValueLife {
			v = cachedValue{r.score(d.job).Value, r.now}
			r.cachedValues[d.job.Spec.ID] = v
		}
		d.value = v.value
	}
	slices.SortStableFunc(first, func(a, b due) int {
		c := a.key.ComparePrecedence(b.key)
		if c == 0 && !a.pressing {
			c = -cmp.Compare(a.value, b.value)
		}
		return c
	})
	// A random pick comes first among its equals in priority and danger.
	if i, ok := r.learning.learner.Explore(len(list)); ok {
		first := slices.IndexFunc(list, func(d due) bool { return d.key.ComparePrecedence(list[i].key) == 0 })
		r.log.Debug("random pick", "job", list[i].job.Spec.ID)
		picked := list[i]
		copy(list[first+1:i+1], list[first:i])
		list[first] = picked
	}
}

func (r *round) action(j *world.Job) *learn.Action {
	return &learn.Action{Class: j.Spec.Class, Team: j.Spec.Team, RunS: r.learning.runs.RunS(j.Spec.Class, j.Spec.RuntimeEstimateSeconds),
		Interactive: r.rank(j) <= wire.PriorityRank(wire.PriorityHigh)}
}

// score values a job in the state of this round.
func (r *round) score(j *world.Job) learn.Choice {
	if r.cachedState == nil || r.now.Sub(r.cachedStateAt) > tuning.ValueLife {
		s := r.state()
		r.cachedState, r.cachedStateAt = &s, r.now
	}
	return r.learning.learner.Score(r.cachedState, r.action(j))
}

// took tells the learner of a task that was started. Each is a decision of its
// own, as the paper's jobs take one processor each; the memory has moved on
// since the job was valued, so it is scored anew.
func (r *round) took(d *due, b pendingBinding, n uint64) {
	if !r.operator.Learn {
		return
	}
	c := r.score(d.job)
	r.learning.open[attempt{b.task, n}] = r.learning.learner.Take(c)
	r.log.Debug("task chosen", "task", b.task, "value", c.Value, "pressing", d.pressing)
}

// SizeState gives what the pool's size is chosen in.
func (e *Engine) SizeState() learn.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	r := &round{Engine: e, now: time.Now()}
	return r.state()
}

// SizePayoff is what a size has earned: responsiveness of late and utilization.
func (e *Engine) SizePayoff() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.payoff(e.learning.recent)
}

// Learner gives the learner that the pool shares.
func (e *Engine) Learner() *learn.Learner { return e.learning.learner }

// Learn keeps the readout fitted and saved until ctx ends.
func (e *Engine) Learn(ctx context.Context) error {
	key := world.LearnerCheckpointKey(e.settings.Node)
	e.restore(ctx, key)
	refit := time.NewTicker(config.Seconds(e.operator.RefitS))
	defer refit.Stop()
	save := time.NewTicker(tuning.LearnSave)
	defer save.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-refit.C:
			if err := e.learning.learner.Refit(); err != nil {
				e.log.Info("values not refitted", "err", err)
			}
			e.forget()
		case <-save.C:
			s := e.learning.learner.Save()
			e.learning.runs.Save(&s)
			cctx, cancel := context.WithTimeout(ctx, tuning.CommitTimeout)
			if _, err := e.committer.Commit(cctx, store.Transaction{Ops: e.saving(key, s)}); err != nil {
				e.log.Debug("values not saved", "err", err)
			}
			cancel()
		}
	}
}

// saving gives the changes that save what was learned, in the form that is written.
func (e *Engine) saving(key string, s learn.Saved) []wire.Op {
	e.cluster.RLock()
	level := e.cluster.SchemaVersion
	e.cluster.RUnlock()
	if level < tuning.LevelPipelines {
		return []wire.Op{store.PutOp(key, s)}
	}
	var ops []wire.Op
	for i, piece := range s.Split(e.committer.MaxRecordBytes(), time.Now().UnixMilli()) {
		ops = append(ops, store.PutOp(world.LearnerCheckpointPieceKey(e.settings.Node, i), piece))
	}
	return ops
}

// read reads a record, again and again while the state service doesn't answer.
func (e *Engine) read(ctx context.Context, key string) (learn.Saved, error) {
	for {
		var s learn.Saved
		row, err := e.reader.Get(ctx, key)
		switch {
		case err == nil:
			return s, wire.Decode(row.Value, &s)
		case errors.Is(err, store.ErrNotFound) || ctx.Err() != nil:
			return s, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(tuning.StateRetry):
		}
	}
}

// saved reads the values saved under the node's name: in pieces, or as one
// record, as they were before LevelPipelines.
func (e *Engine) saved(ctx context.Context, key string) (learn.Saved, error) {
	s, err := e.read(ctx, world.LearnerCheckpointPieceKey(e.settings.Node, 0))
	if errors.Is(err, store.ErrNotFound) {
		return e.read(ctx, key)
	}
	for i := 1; i < s.Of && err == nil; i++ {
		var piece learn.Saved
		if piece, err = e.read(ctx, world.LearnerCheckpointPieceKey(e.settings.Node, i)); err == nil {
			err = s.Join(piece)
		}
	}
	return s, err
}

// restore goes on from the values saved under the node's name. They are advice
// only: what is corrupt or of another form is ignored.
func (e *Engine) restore(ctx context.Context, key string) {
	s, err := e.saved(ctx, key)
	if err == nil {
		err = e.learning.learner.Restore(s)
	}
	switch {
	case errors.Is(err, store.ErrNotFound) || ctx.Err() != nil:
	case err != nil:
		e.log.Info("saved values ignored", "err", err)
	default:
		e.learning.runs.Restore(s)
		e.log.Info("goes on from saved values", "payoffs", s.Paid)
	}
}

// forget drops what no task needs any more.
func (e *Engine) forget() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cluster.RLock()
	defer e.cluster.RUnlock()
	stale := func(k attempt) bool {
		j := e.cluster.Jobs[k.ref.Job]
		return j == nil || !j.HasRecord || j.Task(k.ref.Index).Attempt > k.n
	}
	for k := range e.learning.open {
		if stale(k) {
			delete(e.learning.open, k)
		}
	}
	for k := range e.learning.began {
		if stale(k) {
			delete(e.learning.began, k)
		}
	}
}
