package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// Times of the protocol for workers.
const (
	reportTimeout   = 4 * time.Second
	reportOnChange  = 500 * time.Millisecond
	reportNextNode  = time.Second
	reportRedirect  = 100 * time.Millisecond
	workerTick      = 20 * time.Millisecond
	maxReportJitter = 0.25
	mistakeTime     = 300 * time.Millisecond // from the start of a task of a mistaken job to its failure
)

// attempt is one start of a task.
type attempt struct {
	task   string
	number uint64
}

// workerTask is an attempt on a machine.
type workerTask struct {
	wire.TaskStatus
	spec      *wire.JobSpec
	onMachine bool
	until     time.Time // when the state ends
}

// worker reports one machine to the controllers and runs tasks. The world's lock guards its fields.
type worker struct {
	world   *world
	machine wire.CloudMachine
	kind    wire.MachineType
	server  *http.Server
	cancel  context.CancelFunc
	running sync.WaitGroup

	session, tally, token uint64
	leaseFrom             time.Time
	tasks                 map[attempt]*workerTask
	images                map[string]bool
	node                  int
	lastReport            time.Time
	changed               bool
	gone                  bool
}

// startWorker starts the worker of a machine that is up.
func (w *world) startWorker(machine wire.CloudMachine) {
	listener, err := net.Listen("tcp4", machine.Address)
	if err != nil {
		w.rec.logf("machine %s can't listen: %v", machine.ID, err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	agent := &worker{
		world: w, machine: machine, kind: w.machineType(machine.MachineType), cancel: cancel,
		session: 1, leaseFrom: time.Now(), tasks: map[attempt]*workerTask{}, images: map[string]bool{},
		node: rand.IntN(len(w.nodes)), changed: true,
	}
	agent.server = &http.Server{Handler: http.HandlerFunc(agent.serve), ReadHeaderTimeout: time.Minute}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[machine.ID] = agent
	w.rec.logf("machine %s up in %s at %s", machine.ID, machine.Zone, machine.Address)
	agent.running.Go(func() { _ = agent.server.Serve(listener) }) // ends when the server is closed
	agent.running.Go(func() { agent.reportLoop(ctx) })
}

// stopWorker ends the worker of a machine that is gone.
func (w *world) stopWorker(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	agent := w.workers[name]
	if agent == nil {
		return
	}
	delete(w.workers, name)
	agent.gone = true
	for key, task := range agent.tasks {
		agent.leave(key, task)
	}
	agent.cancel()
	_ = agent.server.Close() // nothing is left to do after an error
	w.rec.logf("machine %s gone", name)
}

// report returns the next report. The caller holds the world's lock.
func (a *worker) report() wire.Heartbeat {
	a.tally++
	out := wire.Heartbeat{
		Machine: a.machine.ID, Address: a.machine.Address, MachineType: a.machine.MachineType, Zone: a.machine.Zone,
		Spot: a.machine.Spot, Session: a.session, Sequence: a.tally, FencingToken: a.token, Tasks: []wire.TaskStatus{},
	}
	for _, task := range a.tasks {
		out.Tasks = append(out.Tasks, task.TaskStatus)
	}
	return out
}

// serve answers direct commands.
func (a *worker) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	switch {
	case a.gone:
		return
	case r.URL.Path == "/show":
		wire.WriteResponse(w, http.StatusOK, a.report())
		return
	}
	var request wire.CommandRequest
	if wire.Decode(body, &request) != nil {
		wire.WriteResponse(w, http.StatusBadRequest, nil)
		return
	}
	if request.FencingToken < a.token || request.Session != a.session {
		wire.WriteResponse(w, http.StatusConflict, a.report())
		return
	}
	a.seeToken(request.FencingToken)
	a.execute(request.Commands)
	wire.WriteResponse(w, http.StatusOK, a.report())
}

func (a *worker) seeToken(token uint64) {
	if token > a.token {
		a.token, a.changed = token, true
	}
}

// reportLoop sends reports until the machine is gone.
func (a *worker) reportLoop(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		if a.reportDue() {
			time.Sleep(a.exchange(ctx, client))
			continue
		}
		time.Sleep(workerTick)
	}
}

func (a *worker) reportDue() bool {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	period := seconds(a.world.reportS * (1 - maxReportJitter + 2*maxReportJitter*rand.Float64()))
	since := time.Since(a.lastReport)
	return since >= period || a.changed && since >= reportOnChange
}

// exchange sends one report and returns how long to wait before the next one may be sent.
func (a *worker) exchange(ctx context.Context, client *http.Client) time.Duration {
	a.world.mu.Lock()
	report, node, sentAt := a.report(), a.node, time.Now()
	a.lastReport, a.changed = sentAt, false
	a.world.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	body := wire.MustEncode(report)
	url := "http://" + a.world.nodes[node].listen + "/agent/beat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return a.nextNode(node)
	}
	response, err := client.Do(request)
	if err != nil {
		return a.nextNode(node)
	}
	answer, err := io.ReadAll(response.Body)
	if closeErr := response.Body.Close(); err != nil || closeErr != nil {
		return a.nextNode(node)
	}
	return a.handleAnswer(node, &report, sentAt, response.StatusCode, answer)
}

func (a *worker) handleAnswer(
	node int, report *wire.Heartbeat, sentAt time.Time, status int, body []byte,
) time.Duration {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	switch {
	case a.gone:
		return 0
	case status == http.StatusOK:
		var response wire.HeartbeatResponse
		if wire.Decode(body, &response) == nil && report.Session == a.session && response.FencingToken >= a.token {
			a.seeToken(response.FencingToken)
			a.leaseFrom = sentAt
			a.execute(response.Commands)
		}
		return 0
	case status == http.StatusMisdirectedRequest:
		var redirect wire.HeartbeatRedirect
		if wire.Decode(body, &redirect) == nil {
			for i, other := range a.world.nodes {
				if other.name == redirect.ControllerAddress && i != node {
					a.node, a.lastReport = i, time.Time{}
					return reportRedirect
				}
			}
		}
	}
	a.node = (node + 1) % len(a.world.nodes)
	a.lastReport = time.Time{}
	return reportNextNode
}

func (a *worker) nextNode(node int) time.Duration {
	a.world.mu.Lock()
	defer a.world.mu.Unlock()
	a.node = (node + 1) % len(a.world.nodes)
	a.lastReport = time.Time{}
	return reportNextNode
}

// execute carries out commands in order. The caller holds the world's lock.
func (a *worker) execute(commands []wire.Command) {
	for _, command := range commands {
		key := attempt{command.Task, command.Attempt}
		task := a.tasks[key]
		switch {
		case command.Kind == wire.CommandStart && task == nil:
			a.launch(key)
		case command.Kind == wire.CommandForget && task != nil && task.State == wire.TaskExited:
			delete(a.tasks, key)
		case command.Kind == wire.CommandStop && task != nil && task.State != wire.TaskExited:
			a.halt(key, task, command.GraceSeconds)
		}
	}
}

func (a *worker) halt(key attempt, task *workerTask, slack *float64) {
	spec := task.spec
	saves := task.State == wire.TaskRunning && spec.CheckpointIntervalSeconds > 0 && slack != nil &&
		*slack >= spec.CheckpointSaveSeconds
	if saves {
		task.State = wire.TaskCheckpointing
		task.until = time.Now().Add(seconds(spec.CheckpointSaveSeconds))
		a.changed = true
		return
	}
	if task.State == wire.TaskCheckpointing && slack != nil && *slack > 0 {
		return
	}
	a.exit(key, task, wire.ExitCauseStopped)
}

// launch begins an attempt: it is refused, or its image is fetched.
func (a *worker) launch(key attempt) {
	a.changed = true
	job, _, ok := a.world.jobOf(key.task)
	task := &workerTask{TaskStatus: wire.TaskStatus{Task: key.task, Attempt: key.number, State: wire.TaskExited}}
	a.tasks[key] = task
	if !ok {
		task.ExitCause = wire.ExitCauseUnknownTask
		return
	}
	task.spec = &job.spec
	var cpus, gpus, memory float64
	for other, present := range a.tasks {
		if present == task || present.State == wire.TaskExited {
			continue
		}
		if other.task == key.task {
			task.ExitCause = wire.ExitCauseAlreadyRunning
			return
		}
		cpus, gpus, memory = cpus+present.spec.CPUs, gpus+present.spec.GPUs, memory+present.spec.MemoryGB
	}
	if cpus+job.spec.CPUs > a.kind.CPUs+1e-6 || gpus+job.spec.GPUs > a.kind.GPUs+1e-6 ||
		memory+job.spec.MemoryGB > a.kind.MemoryGB+1e-6 {
		task.ExitCause = wire.ExitCauseNoCapacity
		return
	}
	task.State = wire.TaskFetchingImage
	task.until = time.Now()
	if !a.images[job.spec.Image] {
		task.until = task.until.Add(seconds(job.spec.ImageSizeGB / a.kind.ImageFetchGBps))
	}
	a.world.rec.logf("machine %s launches %s/%d token %d", a.machine.ID, key.task, key.number, a.token)
}

// advance moves the machine's tasks on. The caller holds the world's lock.
func (a *worker) advance(now time.Time) {
	if now.Sub(a.leaseFrom) > a.world.lease {
		a.expire(now)
	}
	for key, task := range a.tasks {
		if task.State == wire.TaskExited || now.Before(task.until) {
			continue
		}
		switch task.State {
		case wire.TaskFetchingImage:
			a.images[task.spec.Image] = true
			a.begin(key, task, now)
		case wire.TaskRunning:
			a.end(key, task)
		case wire.TaskCheckpointing:
			task.CheckpointSaved = true
			a.exit(key, task, wire.ExitCauseStopped)
		}
	}
}

func (a *worker) begin(key attempt, task *workerTask, now time.Time) {
	job, index, _ := a.world.jobOf(key.task)
	a.changed = true
	if job.done[index] {
		task.State, task.ExitCause = wire.TaskExited, wire.ExitCauseDone
		return
	}
	task.State, task.onMachine = wire.TaskRunning, true
	task.until = now.Add(a.world.runTime(job, index))
	if a.world.mistaken[job.spec.ID] {
		task.until = now.Add(mistakeTime)
	}
	a.world.taskStarted(a, key, job)
}

// end ends a task whose run is over: it fails or is done. A service does not end by itself.
func (a *worker) end(key attempt, task *workerTask) {
	job, _, _ := a.world.jobOf(key.task)
	switch {
	case a.world.mistaken[job.spec.ID]:
		job.failures++
		a.world.rec.logf("task %s/%d fails on %s", key.task, key.number, a.machine.ID)
		a.exit(key, task, wire.ExitCauseError)
	case task.spec.Kind != wire.KindService:
		a.exit(key, task, wire.ExitCauseDone)
	}
}

func (a *worker) exit(key attempt, task *workerTask, cause wire.ExitCause) {
	job, index, _ := a.world.jobOf(key.task)
	a.leave(key, task)
	task.State, task.ExitCause = wire.TaskExited, cause
	a.changed = true
	if cause == wire.ExitCauseDone && !job.done[index] {
		job.done[index] = true
		a.world.taskDone(job, index)
	}
}

// leave records that a task is not on the machine any more.
func (a *worker) leave(key attempt, task *workerTask) {
	if task.onMachine {
		task.onMachine = false
		a.world.taskLeft(a, key)
	}
}

// expire begins the next session: all tasks are killed and forgotten.
func (a *worker) expire(now time.Time) {
	for key, task := range a.tasks {
		a.leave(key, task)
	}
	clear(a.tasks)
	a.session++
	a.leaseFrom, a.changed = now, true
	a.world.rec.logf("machine %s lease over, session %d", a.machine.ID, a.session)
}
