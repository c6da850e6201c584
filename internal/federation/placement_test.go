package federation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sableusher/internal/record"
	"sableusher/internal/tuning"
)

const testFetchSeconds = 4 // duration of a fetch of the candidate's image at the rate of all digests

func drawDigest(t *rapid.T) Digest {
	age := time.Duration(rapid.IntRange(0, 12).Draw(t, "age")) * time.Second
	digest := Digest{
		ReceivedAt:        start.Add(-age),
		FetchSecondsPerGB: 1,
		BootSeconds:       20,
		RemainingTasks:    rapid.IntRange(0, 60).Draw(t, "remaining tasks"),
	}
	for range rapid.IntRange(0, 4).Draw(t, "capacities") {
		digest.FreeCapacities = append(digest.FreeCapacities, FreeCapacity{
			Zone:  rapid.SampledFrom([]string{"x", "y"}).Draw(t, "zone"),
			Spot:  rapid.Bool().Draw(t, "spot"),
			Free:  record.Resources{CPUs: 32, GPUs: float64(rapid.IntRange(0, 4).Draw(t, "free"))},
			Count: rapid.IntRange(1, 20).Draw(t, "count"),
		})
	}
	if wait := rapid.IntRange(-1, 100).Draw(t, "wait"); wait >= 0 {
		digest.WaitSecondsByRank = []float64{float64(wait), float64(wait), float64(wait)}
	}
	return digest
}

func drawCells(t *rapid.T) []TargetCell {
	var cells []TargetCell
	for i := range rapid.IntRange(0, 4).Draw(t, "cells") {
		cells = append(cells, TargetCell{
			Name:            fmt.Sprint(i),
			Digest:          drawDigest(t),
			TransferSeconds: rapid.Float64Range(0, 5).Draw(t, "transfer"),
			TasksInFlight:   rapid.IntRange(0, 30).Draw(t, "in flight"),
		})
	}
	return cells
}

func drawCandidate(t *rapid.T) *OffloadCandidate {
	return &OffloadCandidate{
		JobID:            "run-1",
		TaskResources:    record.Resources{CPUs: 4, GPUs: 1},
		TaskCount:        rapid.IntRange(1, 30).Draw(t, "tasks"),
		SameZone:         rapid.Bool().Draw(t, "same zone"),
		AllowSpot:        rapid.Bool().Draw(t, "allow spot"),
		PriorityRank:     1,
		ImageSizeGB:      testFetchSeconds,
		LocalWaitSeconds: rapid.Float64Range(0, 200).Draw(t, "local wait"),
		OffloadedHere:    rapid.IntRange(0, 5).Draw(t, "offloaded here") == 0,
	}
}

// freeGPUs returns the number of free GPUs that a candidate may use, which is the number of its tasks that fit, as
// each takes one GPU. If the candidate needs a single zone it is the number of the best zone.
func freeGPUs(digest *Digest, candidate *OffloadCandidate) int {
	byZone := map[string]int{}
	for _, capacity := range digest.FreeCapacities {
		if candidate.AllowSpot || !capacity.Spot {
			byZone[capacity.Zone] += capacity.Count * int(capacity.Free.GPUs)
		}
	}
	if candidate.SameZone {
		return max(byZone["x"], byZone["y"])
	}
	return byZone["x"] + byZone["y"]
}

// checkChoice checks that the chosen cell may be offered the candidate and that the job gains enough.
func checkChoice(t *rapid.T, candidate *OffloadCandidate, chosen *TargetCell) {
	t.Helper()
	digest := &chosen.Digest
	wait, free := 0.0, freeGPUs(digest, candidate)
	if free-chosen.TasksInFlight < candidate.TaskCount {
		if len(digest.WaitSecondsByRank) == 0 {
			t.Fatalf("%d tasks are offered to a cell where %d fit and %d are in flight",
				candidate.TaskCount, free, chosen.TasksInFlight)
		}
		wait = digest.WaitSecondsByRank[1] + digest.BootSeconds
	}
	startSeconds := chosen.TransferSeconds + testFetchSeconds + wait
	switch {
	case candidate.OffloadedHere:
		t.Fatal("a job that was offloaded to this cell is offloaded again")
	case start.Sub(digest.ReceivedAt) > tuning.DigestMaxAge:
		t.Fatalf("the digest of the chosen cell was received %v ago", start.Sub(digest.ReceivedAt))
	case chosen.TasksInFlight+candidate.TaskCount > digest.RemainingTasks:
		t.Fatalf("%d tasks in flight to a cell that accepts %d",
			chosen.TasksInFlight+candidate.TaskCount, digest.RemainingTasks)
	case startSeconds+tuning.MinOffloadGain.Seconds() > candidate.LocalWaitSeconds:
		t.Fatalf("the job would start in %.1f s, with an expected local wait of %.1f s",
			startSeconds, candidate.LocalWaitSeconds)
	}
}

// TestChooseCell checks choices for random cells and jobs. A job that was offloaded to this cell must stay. No job
// may go to a cell without a recent digest, to a cell that does not accept that many tasks, or to a cell without
// free capacity whose expected wait is unknown. A job that leaves must gain at least tuning.MinOffloadGain.
func TestChooseCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cells, candidate := drawCells(t), drawCandidate(t)
		random := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		name, ok := ChooseCell(start, candidate, cells, random)
		if ok {
			checkChoice(t, candidate, &cells[name[0]-'0'])
		}
	})
}
