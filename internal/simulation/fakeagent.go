package simulation

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"sableusher/internal/config"
	"sableusher/internal/record"
	"sableusher/internal/wire"
)

// agentStep is the step in which workers carry on.
const agentStep = 100 * time.Millisecond

// fakeAgent is a stand-in for a machine's worker. The region's lock guards it.
type fakeAgent struct {
	region      *Region
	name        string
	address     string
	machineType wire.MachineType
	zone        string
	spot        bool

	session, sequence, fencingToken uint64
	leaseRenewedAt                  time.Time
	tasks                           map[attempt]*agentTask
	images                          map[string]bool
	reclaimAt                       time.Time
	hungUntil                       time.Time
	inboundLostUntil                time.Time // its reports arrive; answers and commands to it are lost
	outboundLostUntil               time.Time // it reaches no node; commands reach it
	removed                         bool
	controllerIndex                 int
	lastHeartbeat                   time.Time
	statusChanged                   bool
}

type attempt struct {
	task   record.TaskRef
	number uint64
}

type agentTask struct {
	wire.TaskStatus
	spec             wire.JobSpec
	onMachine        bool
	readyAt          time.Time // image there, saved, or done
	peerMissingSince time.Time // gang: since when another task is away
}

func (a *fakeAgent) hung() bool { return time.Now().Before(a.hungUntil) }

func (a *fakeAgent) inboundLost() bool { return time.Now().Before(a.inboundLostUntil) }

func (a *fakeAgent) outboundLost() bool { return time.Now().Before(a.outboundLostUntil) }

func (a *fakeAgent) placement() Placement {
	return Placement{a.name, a.machineType.Name, a.zone, a.spot}
}

func (a *fakeAgent) exitTask(k attempt, t *agentTask, cause wire.ExitCause, saved bool) {
	if t.onMachine {
		a.region.Checker.TaskLeft(k.task, a.name)
		t.onMachine = false
	}
	t.State, t.ExitCause, t.CheckpointSaved = wire.TaskExited, cause, saved
	a.statusChanged = true
}

// advance carries the tasks on. Callers hold the region's lock.
func (a *fakeAgent) advance(now time.Time) {
	if a.removed || a.hung() {
		return
	}
	if now.Sub(a.leaseRenewedAt) > a.region.Settings.Lease() {
		for k, t := range a.tasks {
			if t.onMachine {
				a.region.Checker.Observe(t.spec.Kind.String()+" ended with a lease", 1)
			}
			a.exitTask(k, t, "", false)
		}
		clear(a.tasks)
		a.session++
		a.sequence = 0
		a.leaseRenewedAt = now
		a.fencingToken = 0
		a.statusChanged = true
	}
	for k, t := range a.tasks {
		switch t.State {
		case wire.TaskFetchingImage:
			if now.Before(t.readyAt) {
				continue
			}
			a.images[t.spec.Image] = true
			if a.region.Checker.TaskIsDone(k.task) {
				a.exitTask(k, t, wire.ExitCauseDone, false)
				continue
			}
			t.onMachine = true
			a.region.Checker.TaskStarted(k.task, a.placement())
			a.statusChanged = true
			t.State = wire.TaskRunning
			t.readyAt = now.Add(a.region.remainingRunTime(k.task, &t.spec))
			if t.spec.Kind == wire.KindGang {
				t.State = wire.TaskAwaitingGang
				t.readyAt = now.Add(config.Seconds(a.region.Settings.Deployment.Workers.GangWaitS))
			}
		case wire.TaskAwaitingGang:
			if mates := a.region.gangMembers(k); len(mates) == t.spec.TaskCount {
				for _, m := range mates {
					m.agent.statusChanged = true
					m.task.State = wire.TaskRunning
					m.task.readyAt = now.Add(a.region.remainingRunTime(record.TaskRef{JobID: k.task.JobID}, &t.spec))
				}
			} else if now.After(t.readyAt) {
				a.exitTask(k, t, wire.ExitCauseGangIncomplete, false)
			}
		case wire.TaskRunning:
			if t.spec.Kind == wire.KindGang && len(a.region.gangMembers(k)) < t.spec.TaskCount {
				if t.peerMissingSince.IsZero() {
					t.peerMissingSince = now
				} else if now.Sub(t.peerMissingSince) > config.Seconds(a.region.Settings.Deployment.Workers.GangPeerS) {
					a.exitTask(k, t, wire.ExitCauseGangMemberLost, false)
				}
				continue
			}
			if t.spec.Kind == wire.KindService || now.Before(t.readyAt) {
				continue
			}
			mates := []gangMember{{a, k, t}}
			if t.spec.Kind == wire.KindGang {
				mates = a.region.gangMembers(k)
			}
			if i := slices.IndexFunc(mates, func(m gangMember) bool { return a.region.taskFailures[m.attempt.task] > 0 }); i >= 0 {
				m := mates[i]
				a.region.taskFailures[m.attempt.task]--
				a.region.Checker.TaskFailed(m.attempt.task)
				m.agent.exitTask(m.attempt, m.task, wire.ExitCauseError, false)
				continue
			}
			for _, m := range mates {
				a.region.Checker.TaskCompleted(m.attempt.task)
				m.agent.exitTask(m.attempt, m.task, wire.ExitCauseDone, false)
			}
			a.region.taskCompleted(k.task.JobID)
		case wire.TaskCheckpointing:
			if now.After(t.readyAt) {
				a.region.checkpointed[k.task] = true
				a.exitTask(k, t, wire.ExitCauseStopped, true)
			}
		}
	}
}

// executeCommands carries out commands. Callers hold the region's lock.
func (a *fakeAgent) executeCommands(orders []wire.Command) {
	now := time.Now()
	for _, o := range orders {
		ref, ok := record.ParseTaskRef(o.Task)
		if !ok {
			a.region.Checker.AddViolation("format: task " + o.Task)
			continue
		}
		k := attempt{ref, o.Attempt}
		t := a.tasks[k]
		switch {
		case o.Kind == wire.CommandForget && t != nil && t.State == wire.TaskExited:
			if t.ExitCause == wire.ExitCauseError {
				a.region.Checker.FailureAcknowledged(k.task)
			}
			delete(a.tasks, k)
		case o.Kind == wire.CommandStop && t != nil && t.State != wire.TaskExited:
			grace := 0.0
			if o.GraceSeconds != nil {
				grace = *o.GraceSeconds
			}
			switch {
			case t.State == wire.TaskRunning && t.spec.CheckpointIntervalSeconds > 0 && grace >= t.spec.CheckpointSaveSeconds:
				t.State, t.readyAt = wire.TaskCheckpointing, now.Add(config.Seconds(t.spec.CheckpointSaveSeconds))
				a.statusChanged = true
			case t.State != wire.TaskCheckpointing || grace == 0:
				a.exitTask(k, t, wire.ExitCauseStopped, false)
			}
		case o.Kind == wire.CommandStart && t == nil:
			a.startTask(k, now)
		}
	}
}

func (a *fakeAgent) startTask(k attempt, now time.Time) {
	spec, ok := a.region.Checker.JobSpec(k.task.JobID)
	t := &agentTask{TaskStatus: wire.TaskStatus{Task: k.task.String(), Attempt: k.number, State: wire.TaskFetchingImage}, spec: spec}
	a.tasks[k] = t
	a.statusChanged = true
	if !ok || k.task.Index >= spec.TaskCount {
		a.exitTask(k, t, wire.ExitCauseUnknownTask, false)
		return
	}
	used := record.Resources{}
	for o, x := range a.tasks {
		if x.State != wire.TaskExited && o != k {
			used = used.Plus(record.TaskResources(&x.spec))
			if o.task == k.task {
				a.exitTask(k, t, wire.ExitCauseAlreadyRunning, false)
				return
			}
		}
	}
	if !used.Plus(record.TaskResources(&spec)).FitsIn(record.Capacity(&a.machineType)) {
		a.exitTask(k, t, wire.ExitCauseNoCapacity, false)
		return
	}
	t.readyAt = now
	if !a.images[spec.Image] {
		t.readyAt = now.Add(config.Seconds(spec.ImageSizeGB / a.machineType.ImageFetchGBps))
	}
}

// status gives the worker's own account. Callers hold the region's lock.
func (a *fakeAgent) status() wire.Heartbeat {
	a.sequence++
	rep := wire.Heartbeat{Machine: a.name, Address: a.address, MachineType: a.machineType.Name, Zone: a.zone, Spot: a.spot,
		Session: a.session, Sequence: a.sequence, FencingToken: a.fencingToken, Tasks: []wire.TaskStatus{}}
	if !a.reclaimAt.IsZero() {
		left := time.Until(a.reclaimAt).Seconds()
		rep.ReclaimNoticeSeconds = &left
	}
	for _, t := range a.tasks {
		rep.Tasks = append(rep.Tasks, t.TaskStatus)
	}
	return rep
}

// heartbeatLoop reports until the machine is gone.
func (a *fakeAgent) heartbeatLoop(ctx context.Context) {
	rt := a.region.Network.Transport(a.name, func() bool { return true })
	for ctx.Err() == nil {
		a.region.mu.Lock()
		gone, hung := a.removed, a.hung()
		every := config.Seconds(a.region.Settings.Deployment.Workers.ReportS * (0.75 + a.region.random.Float64()/2))
		due := time.Since(a.lastHeartbeat) >= every || a.statusChanged && time.Since(a.lastHeartbeat) >= 500*time.Millisecond
		a.region.mu.Unlock()
		if gone {
			return
		}
		if hung || !due {
			time.Sleep(agentStep)
			continue
		}
		if !a.sendHeartbeat(ctx, rt) {
			time.Sleep(time.Second)
		}
	}
}

func (a *fakeAgent) sendHeartbeat(ctx context.Context, rt http.RoundTripper) bool {
	a.region.mu.Lock()
	a.statusChanged = false
	a.lastHeartbeat = time.Now()
	sent, session, node := time.Now(), a.session, a.controllerIndex
	body := wire.MustEncode(a.status())
	if a.region.duplicateHeartbeats.occurs() {
		a.region.redeliverLater(ctx, a.name, a.region.controllers[node].Address, body)
	}
	a.region.captureHeartbeat(a.name, body)
	mute := a.outboundLost()
	a.region.mu.Unlock()
	next := func() bool {
		a.region.mu.Lock()
		defer a.region.mu.Unlock()
		a.controllerIndex = (node + 1) % len(a.region.controllers)
		a.lastHeartbeat = time.Time{}
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	if mute {
		<-ctx.Done()
		return next()
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.region.controllers[node].Address+"/agent/beat", bytes.NewReader(body))
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return next()
	}
	b, _ := io.ReadAll(resp.Body)
	a.region.mu.Lock()
	if a.inboundLost() {
		a.region.mu.Unlock()
		<-ctx.Done()
		return next()
	}
	if a.hung() || a.removed {
		a.region.mu.Unlock()
		return next() // the answer comes too late to be carried out
	}
	switch resp.StatusCode {
	case http.StatusOK:
		defer a.region.mu.Unlock()
		var o wire.HeartbeatResponse
		if wire.Decode(b, &o) == nil && session == a.session && o.FencingToken >= a.fencingToken {
			a.statusChanged = a.statusChanged || o.FencingToken > a.fencingToken
			a.fencingToken = o.FencingToken
			a.leaseRenewedAt = sent
			a.executeCommands(o.Commands)
		}
		return true
	case http.StatusMisdirectedRequest:
		var to wire.HeartbeatRedirect
		_ = wire.Decode(b, &to)
		for i, n := range a.region.controllers {
			if n.Settings.Node == to.ControllerAddress && i != node {
				a.controllerIndex = i
				a.lastHeartbeat = time.Time{}
				a.region.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
				return true
			}
		}
	}
	a.region.mu.Unlock()
	return next()
}

// ServeHTTP answers direct commands.
func (a *fakeAgent) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	a.region.mu.Lock()
	defer a.region.mu.Unlock()
	if a.inboundLost() {
		rw.Header().Set(responseLostHeader, "1")
		return
	}
	if a.removed {
		wire.WriteResponse(rw, http.StatusServiceUnavailable, nil)
		return
	}
	if r.URL.Path == "/show" {
		wire.WriteResponse(rw, http.StatusOK, a.status())
		return
	}
	var cmd wire.CommandRequest
	if err := wire.Decode(body, &cmd); err != nil || cmd.FencingToken == 0 || cmd.Session == 0 {
		wire.WriteResponse(rw, http.StatusBadRequest, wire.ErrorResponse{Message: fmt.Sprint(err)})
		return
	}
	if cmd.FencingToken < a.fencingToken || cmd.Session != a.session {
		wire.WriteResponse(rw, http.StatusConflict, a.status())
		return
	}
	a.fencingToken = cmd.FencingToken
	a.executeCommands(cmd.Commands)
	wire.WriteResponse(rw, http.StatusOK, a.status())
}
