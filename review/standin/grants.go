package main

import (
	"fmt"
	"sync"
	"time"

	"sableusher/internal/wire"
)

// mazad is a small deployment like mazad-alexandria.
func mazad() site {
	place := site{
		zones: []string{"mintaqat-anfushi"}, nodes: 3, reportS: 3, leaseS: 45, cancelS: 65, gangWaitS: 35,
		gangPeerS: 4, limits: storeLimits{250, 100, 32, 32}, cloudRPS: 4, listLagS: 10, capacity: 3,
		cpuShare: 0.36, memMB: 342, sockets: 4000,
		types: []wire.MachineType{{
			Name: "nawras-thalathin", CPUs: 32, GPUs: 4, MemoryGB: 256, ImageCacheGB: 50, ImageFetchGBps: 1,
			Price: 10.9, SpotPrice: 4.29, BootSeconds: 25,
			Zones: []string{"mintaqat-anfushi", "mintaqat-maks", "mintaqat-abuqir", "mintaqat-raml"},
		}},
	}
	for i := range 16 {
		place.teams += fmt.Sprintf("[[deployment.teams]]\nname = \"fariq-halaqa-%d\"\ncpus = 0.0\ncpus_max = 0.0\n"+
			"gpus = 8.0\ngpus_max = %.1f\n", i, teamLimit)
	}
	return place
}

const (
	teamLimit      = 24.0 // GPUs of a team
	usualBoards    = 10   // price boards of the team on a usual day
	burstBoards    = 20   // price boards of the team in a burst
	boardsRun      = 30 * time.Second
	gangSettle     = 8 * time.Second // the time between the last start of a board and the submission of the gang
	maxWait        = 90 * time.Second
	waitingPoll    = 5 * time.Second
	waitingMeasure = 250 * time.Millisecond
)

// playGrants has a team run price boards, and then submits a gang that fits into what the team's limit leaves.
func playGrants(w *world, trouble bool) error {
	w.runTime = func(job *userJob, _ int) time.Duration {
		if job.spec.Kind == wire.KindService {
			return time.Hour
		}
		return seconds(job.spec.RuntimeEstimateSeconds)
	}
	if err := w.startAll(); err != nil {
		return err
	}
	boards := usualBoards
	if trouble {
		boards = burstBoards
	}
	spec := wire.JobSpec{
		Class: "lawhat-asaar", Team: "fariq-halaqa-3", Kind: wire.KindService, Priority: wire.PriorityProduction,
		TaskCount: 1, CPUs: 5, GPUs: 1, MemoryGB: 38, Image: "img-01", ImageSizeGB: 1,
	}
	var users sync.WaitGroup
	for i := range boards {
		board := spec
		board.ID = fmt.Sprintf("run-%06d", 100+13*i)
		users.Go(func() { w.submit(board) })
	}
	users.Wait()
	if !w.allRun(boards) {
		return fmt.Errorf("only %d of %d price boards run", w.running(), boards)
	}
	time.Sleep(gangSettle)
	spec.ID, spec.Class, spec.Kind, spec.Priority = "run-000999", "tadrib-mizan", wire.KindGang, wire.PriorityHigh
	spec.CPUs, spec.GPUs, spec.MemoryGB, spec.SameZone = 28, 4, 200, true
	spec.RuntimeEstimateSeconds, spec.CheckpointIntervalSeconds, spec.CheckpointSaveSeconds = 10, 15, 6
	if w.submit(spec) {
		w.checkWaiting(spec.ID)
	}
	return nil
}

// running returns how many tasks are on machines.
func (w *world) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.onHost)
}

// allRun waits until that many tasks are on machines; it returns false if that takes too long.
func (w *world) allRun(count int) bool {
	for since := time.Now(); time.Since(since) < boardsRun; time.Sleep(waitingMeasure) {
		if w.running() == count {
			return true
		}
	}
	return false
}

// checkWaiting follows a job of one task until it begins, and reports whether it did. The job may not wait for longer
// than maxWait while a machine that fits has room and its team is so far under its limit that the job fits; the time in
// which that is not so is not counted.
func (w *world) checkWaiting(id string) bool {
	waited, last, polled := time.Duration(0), time.Now(), time.Time{}
	for {
		time.Sleep(waitingMeasure)
		w.mu.Lock()
		job := w.jobs[id]
		started := job.starts > 0
		_, gpus := w.teamUse(job.spec.Team)
		room := w.machineWithRoom(&job.spec)
		w.mu.Unlock()
		now := time.Now()
		if started {
			w.rec.logf("%s begins; it waited %.1f s with room", id, waited.Seconds())
			return true
		}
		if room != "" && gpus+job.spec.GPUs <= teamLimit {
			waited += now.Sub(last)
		}
		last = now
		if waited > maxWait {
			w.rec.violation("left_waiting", "%s waits for %.1f s; its team uses %.0f of %.0f GPUs, it needs %.0f, and "+
				"machine %s has room", id, waited.Seconds(), gpus, teamLimit, job.spec.GPUs, room)
			return false
		}
		if now.Sub(polled) > waitingPoll {
			polled = now
			w.poll(id)
			w.rec.logf("%s waits; its team uses %.0f of %.0f GPUs; machine with room: %q", id, gpus, teamLimit, room)
		}
	}
}

// teamUse returns what a team's tasks on machines use. The caller holds the lock.
func (w *world) teamUse(team string) (cpus, gpus float64) {
	for task := range w.onHost {
		if job, _, ok := w.jobOf(task); ok && job.spec.Team == team {
			cpus, gpus = cpus+job.spec.CPUs, gpus+job.spec.GPUs
		}
	}
	return cpus, gpus
}

// machineWithRoom returns the name of an allowed machine that is up and has room for a task; empty if there is none.
// The caller holds the lock.
func (w *world) machineWithRoom(spec *wire.JobSpec) string {
	for name, agent := range w.workers {
		free := wire.JobSpec{CPUs: agent.kind.CPUs, GPUs: agent.kind.GPUs, MemoryGB: agent.kind.MemoryGB}
		for _, task := range agent.tasks {
			if task.State != wire.TaskExited {
				free.CPUs -= task.spec.CPUs
				free.GPUs -= task.spec.GPUs
				free.MemoryGB -= task.spec.MemoryGB
			}
		}
		allowed := (spec.Zone == "" || spec.Zone == agent.machine.Zone) && (spec.AllowSpot || !agent.machine.Spot)
		if allowed && spec.CPUs <= free.CPUs && spec.GPUs <= free.GPUs && spec.MemoryGB <= free.MemoryGB {
			return name
		}
	}
	return ""
}
