package main

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"sableusher/internal/wire"
)

// attempt identifies an attempt of a task.
type attempt struct {
	task   string
	number uint64
}

// workerTask is an attempt that a worker knows.
type workerTask struct {
	attempt
	job     *job
	state   wire.TaskState
	cause   wire.ExitCause
	saved   bool
	onSince time.Time // when it had its image
	until   time.Time // end of the fetch, of the wait for the gang, of the run or of the save
	started time.Time // when it began to run
}

// onMachine reports whether the task is on its machine: it has its image and has not exited.
func (t *workerTask) onMachine() bool {
	return t.state != wire.TaskFetchingImage && t.state != wire.TaskExited
}

// worker stands in for the worker of one machine. The world's mutex guards its fields.
type worker struct {
	world   *world
	name    string
	address string
	pool    pool
	kind    wire.MachineType
	server  *http.Server
	client  *http.Client
	node    int // the controller that it reports to

	session, sequence, token uint64
	leaseFrom                time.Time
	tasks                    map[attempt]*workerTask
	images                   map[string]bool
	changed                  bool
	gone, hung               bool
}

// startWorker starts the worker of a machine that is up.
func (w *world) startWorker(m *cloudMachine) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		w.note("worker failed", "err", err)
		return
	}
	k := &worker{
		world: w, name: m.id, address: listener.Addr().String(), pool: m.pool, kind: w.typeOf(m.pool.hull),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		node:   rand.IntN(len(w.nodes)), session: 1, leaseFrom: time.Now(),
		tasks: map[attempt]*workerTask{}, images: map[string]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", k.serveOrders)
	mux.HandleFunc("GET /show", k.serveShow)
	k.server = &http.Server{Handler: k.unlessHung(mux), ReadHeaderTimeout: 10 * time.Second}
	w.mu.Lock()
	m.address = k.address
	w.workers[k.name] = k
	w.mu.Unlock()
	w.note("machine up", "machine", k.name, "zone", m.pool.zone, "spot", m.pool.spot)
	go func() { _ = k.server.Serve(listener) }()
	go k.report()
}

// unlessHung keeps requests while the machine hangs and serves them afterwards, even if their sender has given up.
func (k *worker) unlessHung(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for k.isHung() {
			time.Sleep(20 * time.Millisecond)
		}
		next.ServeHTTP(w, r)
	})
}

func (k *worker) isHung() bool {
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	return k.hung && !k.gone
}

// end ends the worker with its machine. The caller holds the world's mutex.
func (k *worker) end(reason string) {
	if k.gone {
		return
	}
	k.gone = true
	k.world.noteLocked("machine gone", "machine", k.name, "reason", reason)
	for _, t := range k.tasks {
		k.exit(t, "machine gone")
	}
	k.tasks = map[attempt]*workerTask{}
	go func() { _ = k.server.Close() }()
}

// report sends reports until the machine is gone.
func (k *worker) report() {
	lastSent := time.Time{}
	for {
		time.Sleep(20 * time.Millisecond)
		k.world.mu.Lock()
		gone, hung, changed := k.gone, k.hung, k.changed
		k.world.mu.Unlock()
		if gone {
			return
		}
		every := time.Duration(float64(k.world.reportEvery) * (0.85 + 0.3*rand.Float64()))
		since := time.Since(lastSent)
		if hung || since < 500*time.Millisecond || !changed && since < every {
			continue
		}
		lastSent = time.Now()
		if err := k.reportOnce(lastSent); err != nil {
			k.world.mu.Lock()
			k.node = (k.node + 1) % len(k.world.nodes)
			k.world.mu.Unlock()
			time.Sleep(time.Second)
		}
	}
}

var errTryNext = errors.New("the next node is to be tried")

// reportOnce sends one report and carries out the response.
func (k *worker) reportOnce(sentAt time.Time) error {
	k.world.mu.Lock()
	k.changed = false
	k.sequence++
	report, session := k.heartbeat(), k.session
	target := k.world.nodes[k.node].listen
	k.world.mu.Unlock()
	body, err := wire.Encode(report)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	url := "http://" + target + "/agent/beat"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := k.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := wire.ReadBody(response.Body, 64<<10)
	if err != nil {
		return err
	}
	switch response.StatusCode {
	case http.StatusOK:
		return k.accept(answer, session, sentAt)
	case http.StatusMisdirectedRequest:
		return k.follow(answer)
	}
	return errTryNext
}

// accept carries out a response with status 200.
func (k *worker) accept(answer []byte, session uint64, sentAt time.Time) error {
	var response wire.HeartbeatResponse
	if err := wire.Decode(answer, &response); err != nil {
		return err
	}
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	if k.gone || k.hung || session != k.session || response.FencingToken < k.token {
		return nil // dropped; the worker stays with the node
	}
	k.raiseToken(response.FencingToken)
	k.leaseFrom = sentAt
	k.execute(response.Commands)
	return nil
}

// follow goes to the node that a response with status 421 names.
func (k *worker) follow(answer []byte) error {
	var redirect wire.HeartbeatRedirect
	if err := wire.Decode(answer, &redirect); err != nil {
		return err
	}
	k.world.mu.Lock()
	defer k.world.mu.Unlock()
	for i, node := range k.world.nodes {
		if node.name == redirect.ControllerAddress && i != k.node {
			k.node, k.changed = i, true
			return nil
		}
	}
	return errTryNext
}

func (k *worker) raiseToken(token uint64) {
	if token > k.token {
		k.token, k.changed = token, true
	}
}

// heartbeat returns the worker's report. The caller holds the world's mutex.
func (k *worker) heartbeat() wire.Heartbeat {
	report := wire.Heartbeat{
		Machine: k.name, Address: k.address, MachineType: k.pool.hull, Zone: k.pool.zone, Spot: k.pool.spot,
		Session: k.session, Sequence: k.sequence, FencingToken: k.token, Tasks: []wire.TaskStatus{},
	}
	for _, t := range k.tasks {
		report.Tasks = append(report.Tasks, wire.TaskStatus{
			Task: t.task, Attempt: t.number, State: t.state, ExitCause: t.cause, CheckpointSaved: t.saved,
		})
	}
	return report
}

func (k *worker) serveOrders(w http.ResponseWriter, r *http.Request) {
	body, err := wire.ReadBody(r.Body, 64<<10)
	var request wire.CommandRequest
	if err == nil {
		err = wire.Decode(body, &request)
	}
	if err != nil || request.Session == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.world.mu.Lock()
	status := http.StatusConflict
	if request.FencingToken >= k.token && request.Session == k.session && !k.gone {
		status = http.StatusOK
		k.raiseToken(request.FencingToken)
		k.execute(request.Commands)
	}
	k.sequence++
	report := k.heartbeat()
	k.world.mu.Unlock()
	wire.WriteResponse(w, status, report)
}

func (k *worker) serveShow(w http.ResponseWriter, _ *http.Request) {
	k.world.mu.Lock()
	k.sequence++
	report := k.heartbeat()
	k.world.mu.Unlock()
	wire.WriteResponse(w, http.StatusOK, report)
}

// execute carries out commands in order. The caller holds the world's mutex.
func (k *worker) execute(commands []wire.Command) {
	now := time.Now()
	for _, command := range commands {
		id := attempt{command.Task, command.Attempt}
		t := k.tasks[id]
		switch {
		case command.Kind == wire.CommandStart && t == nil:
			k.launch(id, now)
		case command.Kind == wire.CommandStop && t != nil && t.state != wire.TaskExited:
			k.halt(t, command.GraceSeconds, now)
		case command.Kind == wire.CommandForget && t != nil && t.state == wire.TaskExited:
			delete(k.tasks, id)
			k.changed = true
		}
	}
}

// launch starts an attempt, or refuses it. The caller holds the world's mutex.
func (k *worker) launch(id attempt, now time.Time) {
	t := &workerTask{attempt: id, job: k.world.jobOfTask(id.task), state: wire.TaskFetchingImage}
	k.tasks[id] = t
	k.changed = true
	if cause := k.refusal(t); cause != "" {
		t.state, t.cause = wire.TaskExited, cause
		k.world.noteLocked("start refused", "task", id.task, "attempt", id.number, "machine", k.name, "cause", cause)
		return
	}
	k.world.noteLocked("launch", "task", id.task, "attempt", id.number, "machine", k.name)
	t.until = now
	if !k.images[t.job.spec.Image] {
		t.until = now.Add(seconds(t.job.spec.ImageSizeGB / k.kind.ImageFetchGBps))
	}
}

// refusal returns why a start is refused, or "". The caller holds the world's mutex.
func (k *worker) refusal(t *workerTask) wire.ExitCause {
	if t.job == nil {
		return wire.ExitCauseUnknownTask
	}
	cpus, gpus, memory := 0.0, 0.0, 0.0
	for _, other := range k.tasks {
		if other.state == wire.TaskExited {
			continue
		}
		if other != t && other.task == t.task {
			return wire.ExitCauseAlreadyRunning
		}
		spec := &other.job.spec
		cpus, gpus, memory = cpus+spec.CPUs, gpus+spec.GPUs, memory+spec.MemoryGB
	}
	if cpus > k.kind.CPUs+1e-3 || gpus > k.kind.GPUs+1e-3 || memory > k.kind.MemoryGB+1e-3 {
		return wire.ExitCauseNoCapacity
	}
	return ""
}

// halt stops a task. The caller holds the world's mutex.
func (k *worker) halt(t *workerTask, slack *float64, now time.Time) {
	spec := &t.job.spec
	saves := spec.CheckpointIntervalSeconds > 0 && slack != nil && *slack >= spec.CheckpointSaveSeconds
	k.changed = true
	if t.state == wire.TaskRunning && saves {
		t.state, t.until = wire.TaskCheckpointing, now.Add(seconds(spec.CheckpointSaveSeconds))
		return
	}
	if t.state == wire.TaskCheckpointing && (slack == nil || *slack > 0) {
		return
	}
	k.exit(t, wire.ExitCauseStopped)
}

// exit ends a task. The caller holds the world's mutex.
func (k *worker) exit(t *workerTask, cause wire.ExitCause) {
	if t.state == wire.TaskExited {
		return
	}
	k.world.noteLocked("exit", "task", t.task, "attempt", t.number, "machine", k.name, "cause", cause)
	t.state, t.cause = wire.TaskExited, cause
	k.changed = true
}

// advance lets time pass on the machine. The caller holds the world's mutex.
func (k *worker) advance(now time.Time) {
	if k.gone || k.hung {
		return
	}
	if now.Sub(k.leaseFrom) > k.world.lease {
		for _, t := range k.tasks {
			k.exit(t, "lease expired")
		}
		k.tasks = map[attempt]*workerTask{}
		k.session++
		k.leaseFrom, k.changed = now, true
		k.world.noteLocked("lease expired", "machine", k.name, "session", k.session)
	}
	for _, t := range slices.Collect(maps.Values(k.tasks)) {
		k.advanceTask(t, now)
	}
}

func (k *worker) advanceTask(t *workerTask, now time.Time) {
	if t.state == wire.TaskExited || now.Before(t.until) && t.state != wire.TaskAwaitingGang {
		return
	}
	switch t.state {
	case wire.TaskFetchingImage:
		k.images[t.job.spec.Image] = true
		k.begin(t, now)
	case wire.TaskAwaitingGang:
		k.world.advanceGang(k, t, now)
	case wire.TaskRunning:
		if t.job.spec.Kind != wire.KindService {
			k.world.complete(t)
			k.exit(t, wire.ExitCauseDone)
		}
	case wire.TaskCheckpointing:
		t.job.progress[t.task] += now.Sub(t.started) - seconds(t.job.spec.CheckpointSaveSeconds)
		t.saved = true
		k.exit(t, wire.ExitCauseStopped)
	}
}

// begin puts a task on the machine once its image is there. The caller holds the world's mutex.
func (k *worker) begin(t *workerTask, now time.Time) {
	k.changed, t.onSince = true, now
	k.world.checkStart(k, t, now)
	if t.job.done[t.task] {
		k.exit(t, wire.ExitCauseDone)
		return
	}
	if t.job.spec.Kind == wire.KindGang {
		t.state, t.until = wire.TaskAwaitingGang, now.Add(k.world.gangWait)
		return
	}
	t.run(now)
}

// run lets a task run from now on.
func (t *workerTask) run(now time.Time) {
	t.state, t.started = wire.TaskRunning, now
	t.until = now.Add(max(0, t.job.runTime-t.job.progress[t.task]))
}

// hangMachineOf lets a machine with a task of a job hang for 40 s.
func (w *world) hangMachineOf(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, member := range w.tasksOnMachines() {
		if k := member.worker; member.task.job.spec.ID == id {
			k.hung = true
			w.noteLocked("a machine hangs", "machine", k.name)
			time.AfterFunc(40*time.Second, func() { w.resume(k) })
			return
		}
	}
}

func (w *world) resume(k *worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k.hung = false
	w.noteLocked("the machine goes on", "machine", k.name, "gone", k.gone)
}
