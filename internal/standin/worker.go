package standin

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/wire"
	"sableusher/internal/world"
)

// tick is the step in which workers carry on.
const tick = 100 * time.Millisecond

// worker is a stand-in for a machine's worker. The region's lock guards it.
type worker struct {
	r       *Region
	name    string
	address string
	typ     wire.MachineType
	zone    string
	spot    bool

	session, seq, token uint64
	leaseFrom           time.Time
	tasks               map[attempt]*task
	images              map[string]bool
	recall              time.Time
	hungUntil           time.Time
	deafUntil           time.Time // its reports arrive; answers and commands to it are lost
	muteUntil           time.Time // it reaches no node; commands reach it
	gone                bool
	node                int
	lastReport          time.Time
	changed             bool
}

type attempt struct {
	ref world.TaskRef
	n   uint64
}

type task struct {
	wire.TaskReport
	spec    wire.Spec
	on      bool
	ready   time.Time // image there, saved, or done
	missing time.Time // gang: since when another task is away
}

func (w *worker) hung() bool { return time.Now().Before(w.hungUntil) }

func (w *worker) deaf() bool { return time.Now().Before(w.deafUntil) }

func (w *worker) mute() bool { return time.Now().Before(w.muteUntil) }

func (w *worker) place() Place { return Place{w.name, w.typ.Name, w.zone, w.spot} }

func (w *worker) exit(k attempt, t *task, cause string, saved bool) {
	if t.on {
		w.r.Oracle.Off(k.ref, w.name)
		t.on = false
	}
	t.State, t.Cause, t.Saved = wire.TaskExited, cause, saved
	w.changed = true
}

// step carries the tasks on. Callers hold the region's lock.
func (w *worker) step(now time.Time) {
	if w.gone || w.hung() {
		return
	}
	if now.Sub(w.leaseFrom) > w.r.Set.Lease() {
		for k, t := range w.tasks {
			if t.on {
				w.r.Oracle.Meets(t.spec.Kind+" ended with a lease", 1)
			}
			w.exit(k, t, "", false)
		}
		clear(w.tasks)
		w.session++
		w.seq = 0
		w.leaseFrom = now
		w.token = 0
		w.changed = true
	}
	for k, t := range w.tasks {
		switch t.State {
		case wire.TaskFetching:
			if now.Before(t.ready) {
				continue
			}
			w.images[t.spec.Image] = true
			if w.r.Oracle.IsDone(k.ref) {
				w.exit(k, t, wire.CauseDone, false)
				continue
			}
			t.on = true
			w.r.Oracle.On(k.ref, w.place())
			w.changed = true
			t.State = wire.TaskRunning
			t.ready = now.Add(w.r.left(k.ref, &t.spec))
			if t.spec.Kind == wire.KindGang {
				t.State = wire.TaskWaiting
				t.ready = now.Add(config.Seconds(w.r.Set.Deployment.Workers.GangWaitS))
			}
		case wire.TaskWaiting:
			if mates := w.r.mates(k); len(mates) == t.spec.Tasks {
				for _, m := range mates {
					m.w.changed = true
					m.t.State = wire.TaskRunning
					m.t.ready = now.Add(w.r.left(world.TaskRef{Job: k.ref.Job}, &t.spec))
				}
			} else if now.After(t.ready) {
				w.exit(k, t, wire.CauseAlone, false)
			}
		case wire.TaskRunning:
			if t.spec.Kind == wire.KindGang && len(w.r.mates(k)) < t.spec.Tasks {
				if t.missing.IsZero() {
					t.missing = now
				} else if now.Sub(t.missing) > config.Seconds(w.r.Set.Deployment.Workers.GangPeerS) {
					w.exit(k, t, wire.CausePeers, false)
				}
				continue
			}
			if t.spec.Kind == wire.KindService || now.Before(t.ready) {
				continue
			}
			mates := []mate{{w, k, t}}
			if t.spec.Kind == wire.KindGang {
				mates = w.r.mates(k)
			}
			if i := slices.IndexFunc(mates, func(m mate) bool { return w.r.faults[m.k.ref] > 0 }); i >= 0 {
				m := mates[i]
				w.r.faults[m.k.ref]--
				w.r.Oracle.Failed(m.k.ref)
				m.w.exit(m.k, m.t, wire.CauseError, false)
				continue
			}
			for _, m := range mates {
				w.r.Oracle.Completed(m.k.ref)
				m.w.exit(m.k, m.t, wire.CauseDone, false)
			}
			w.r.ended(k.ref.Job)
		case wire.TaskSaving:
			if now.After(t.ready) {
				w.r.saved[k.ref] = true
				w.exit(k, t, wire.CauseStopped, true)
			}
		}
	}
}

// execute carries out commands. Callers hold the region's lock.
func (w *worker) execute(orders []wire.Order) {
	now := time.Now()
	for _, o := range orders {
		ref, ok := world.ParseRef(o.Task)
		if !ok {
			w.r.Oracle.Note("format: task " + o.Task)
			continue
		}
		k := attempt{ref, o.Attempt}
		t := w.tasks[k]
		switch {
		case o.Op == wire.OpForget && t != nil && t.State == wire.TaskExited:
			if t.Cause == wire.CauseError {
				w.r.Oracle.Counted(k.ref)
			}
			delete(w.tasks, k)
		case o.Op == wire.OpStop && t != nil && t.State != wire.TaskExited:
			grace := 0.0
			if o.GraceS != nil {
				grace = *o.GraceS
			}
			switch {
			case t.State == wire.TaskRunning && t.spec.CheckpointS > 0 && grace >= t.spec.SaveS:
				t.State, t.ready = wire.TaskSaving, now.Add(config.Seconds(t.spec.SaveS))
				w.changed = true
			case t.State != wire.TaskSaving || grace == 0:
				w.exit(k, t, wire.CauseStopped, false)
			}
		case o.Op == wire.OpStart && t == nil:
			w.start(k, now)
		}
	}
}

func (w *worker) start(k attempt, now time.Time) {
	spec, ok := w.r.Oracle.Spec(k.ref.Job)
	t := &task{TaskReport: wire.TaskReport{Task: k.ref.String(), Attempt: k.n, State: wire.TaskFetching}, spec: spec}
	w.tasks[k] = t
	w.changed = true
	if !ok || k.ref.Index >= spec.Tasks {
		w.exit(k, t, wire.CauseUnknown, false)
		return
	}
	used := world.Amount{}
	for o, x := range w.tasks {
		if x.State != wire.TaskExited && o != k {
			used = used.Plus(world.Need(&x.spec), 1)
			if o.ref == k.ref {
				w.exit(k, t, wire.CauseBusy, false)
				return
			}
		}
	}
	if !used.Plus(world.Need(&spec), 1).Within(world.Capacity(&w.typ)) {
		w.exit(k, t, wire.CauseNoRoom, false)
		return
	}
	t.ready = now
	if !w.images[spec.Image] {
		t.ready = now.Add(config.Seconds(spec.ImageGB / w.typ.FetchGBps))
	}
}

// report gives the worker's own account. Callers hold the region's lock.
func (w *worker) report() wire.Report {
	w.seq++
	rep := wire.Report{Machine: w.name, Address: w.address, Type: w.typ.Name, Zone: w.zone, Spot: w.spot,
		Session: w.session, Seq: w.seq, Token: w.token, Tasks: []wire.TaskReport{}}
	if !w.recall.IsZero() {
		left := time.Until(w.recall).Seconds()
		rep.NoticeS = &left
	}
	for _, t := range w.tasks {
		rep.Tasks = append(rep.Tasks, t.TaskReport)
	}
	return rep
}

// run reports until the machine is gone.
func (w *worker) run(ctx context.Context) {
	rt := w.r.Net.From(w.name, func() bool { return true })
	for ctx.Err() == nil {
		w.r.mu.Lock()
		gone, hung := w.gone, w.hung()
		every := config.Seconds(w.r.Set.Deployment.Workers.ReportS * (0.75 + w.r.rnd.Float64()/2))
		due := time.Since(w.lastReport) >= every || w.changed && time.Since(w.lastReport) >= 500*time.Millisecond
		w.r.mu.Unlock()
		if gone {
			return
		}
		if hung || !due {
			time.Sleep(tick)
			continue
		}
		if !w.beat(ctx, rt) {
			time.Sleep(time.Second)
		}
	}
}

func (w *worker) beat(ctx context.Context, rt http.RoundTripper) bool {
	w.r.mu.Lock()
	w.changed = false
	w.lastReport = time.Now()
	sent, session, node := time.Now(), w.session, w.node
	body := wire.MustEncode(w.report())
	if w.r.copies.hit() {
		w.r.copy(ctx, w.name, w.r.nodes[node].Address, body)
	}
	w.r.keep(w.name, body)
	mute := w.mute()
	w.r.mu.Unlock()
	next := func() bool {
		w.r.mu.Lock()
		defer w.r.mu.Unlock()
		w.node = (node + 1) % len(w.r.nodes)
		w.lastReport = time.Time{}
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	if mute {
		<-ctx.Done()
		return next()
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.r.nodes[node].Address+"/agent/beat", bytes.NewReader(body))
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return next()
	}
	b, _ := io.ReadAll(resp.Body)
	w.r.mu.Lock()
	if w.deaf() {
		w.r.mu.Unlock()
		<-ctx.Done()
		return next()
	}
	if w.hung() || w.gone {
		w.r.mu.Unlock()
		return next() // the answer comes too late to be carried out
	}
	switch resp.StatusCode {
	case http.StatusOK:
		defer w.r.mu.Unlock()
		var o wire.Orders
		if wire.Decode(b, &o) == nil && session == w.session && o.Token >= w.token {
			w.changed = w.changed || o.Token > w.token
			w.token = o.Token
			w.leaseFrom = sent
			w.execute(o.Orders)
		}
		return true
	case http.StatusMisdirectedRequest:
		var to wire.Redirect
		_ = wire.Decode(b, &to)
		for i, n := range w.r.nodes {
			if n.Set.Node == to.ReportTo && i != node {
				w.node = i
				w.lastReport = time.Time{}
				w.r.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				return true
			}
		}
	}
	w.r.mu.Unlock()
	return next()
}

// ServeHTTP answers direct commands.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.r.mu.Lock()
	defer w.r.mu.Unlock()
	if w.deaf() {
		rw.Header().Set(lostHeader, "1")
		return
	}
	if w.gone {
		wire.Reply(rw, http.StatusServiceUnavailable, nil)
		return
	}
	if r.URL.Path == "/show" {
		wire.Reply(rw, http.StatusOK, w.report())
		return
	}
	var cmd wire.DirectOrders
	if err := wire.Decode(body, &cmd); err != nil || cmd.Token == 0 || cmd.Session == 0 {
		wire.Reply(rw, http.StatusBadRequest, wire.Problem{Error: fmt.Sprint(err)})
		return
	}
	if cmd.Token < w.token || cmd.Session != w.session {
		wire.Reply(rw, http.StatusConflict, w.report())
		return
	}
	w.token = cmd.Token
	w.execute(cmd.Orders)
	wire.Reply(rw, http.StatusOK, w.report())
}
