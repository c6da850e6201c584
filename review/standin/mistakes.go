package main

import (
	"fmt"
	"sync"
	"time"

	"sableusher/internal/wire"
)

const (
	zoneOfBoards  = "mintaqat-raml"
	boardsOfZone  = 11 // of the 12 GPUs of the three machines that the zone has
	mistakenJobs  = 2
	mistakesShown = 25 * time.Second
)

// lateBoards are the price boards that take the last place one after the other.
var lateBoards = []string{"run-000901", "run-000908", "run-000929"}

// playMistakes fills a zone with price boards but for one place, has jobs with a mistake fail there until their users
// cancel them, and then has further price boards come and go in that place.
func playMistakes(w *world, trouble bool) error {
	w.runTime = func(*userJob, int) time.Duration { return time.Hour }
	if err := w.startAll(); err != nil {
		return err
	}
	spec := wire.JobSpec{
		Class: "lawhat-asaar", Team: "fariq-halaqa-3", Kind: wire.KindService, Priority: wire.PriorityProduction,
		TaskCount: 1, CPUs: 5, GPUs: 1, MemoryGB: 38, Image: "img-01", ImageSizeGB: 0.5, Zone: zoneOfBoards,
	}
	var users sync.WaitGroup
	for i := range boardsOfZone {
		board := spec
		board.ID = fmt.Sprintf("run-%06d", 100+13*i)
		users.Go(func() { w.submit(board) })
	}
	users.Wait()
	if !w.allRun(boardsOfZone) {
		return fmt.Errorf("only %d of %d price boards run", w.running(), boardsOfZone)
	}
	for i := range mistakenJobs {
		mistaken := spec
		mistaken.ID = fmt.Sprintf("run-%06d", 500+17*i)
		if trouble {
			users.Go(func() { w.submitMistaken(mistaken) })
		}
	}
	users.Wait()
	for _, id := range lateBoards {
		spec.ID = id
		if !w.submit(spec) || !w.checkWaiting(id) {
			return nil
		}
		w.cancelJob(id)
	}
	return nil
}

// submitMistaken submits a job with a mistake and cancels it once it has failed.
func (w *world) submitMistaken(spec wire.JobSpec) {
	w.mu.Lock()
	w.mistaken[spec.ID] = true
	w.mu.Unlock()
	if !w.submit(spec) {
		return
	}
	for since := time.Now(); time.Since(since) < mistakesShown; time.Sleep(waitingMeasure) {
		w.mu.Lock()
		failed := w.jobs[spec.ID].failures > 0
		w.mu.Unlock()
		if failed {
			break
		}
	}
	w.cancelJob(spec.ID)
}
