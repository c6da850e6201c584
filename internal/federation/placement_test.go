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

const testFetchSeconds = 4 // of the candidate's image, at the digests' rate

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

// freeGPUs counts the GPUs that a candidate of one GPU per task may use, in one zone if it needs that.
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

// checkChoice holds the cell that was chosen for a candidate to the bounds of a choice.
func checkChoice(t *rapid.T, candidate *OffloadCandidate, chosen *TargetCell) {
	t.Helper()
	digest := &chosen.Digest
	wait, free := 0.0, freeGPUs(digest, candidate)
	if free-chosen.TasksInFlight < candidate.TaskCount {
		if len(digest.WaitSecondsByRank) == 0 {
			t.Fatalf("%d tasks are offered where %d fit, %d in flight", candidate.TaskCount, free, chosen.TasksInFlight)
		}
		wait = digest.WaitSecondsByRank[1] + digest.BootSeconds
	}
	startSeconds := chosen.TransferSeconds + testFetchSeconds + wait
	switch {
	case candidate.OffloadedHere:
		t.Fatal("an offloaded job is offloaded again")
	case start.Sub(digest.ReceivedAt) > tuning.DigestMaxAge:
		t.Fatalf("chosen by a digest received %v ago", start.Sub(digest.ReceivedAt))
	case chosen.TasksInFlight+candidate.TaskCount > digest.RemainingTasks:
		t.Fatalf("%d tasks where %d are accepted", chosen.TasksInFlight+candidate.TaskCount, digest.RemainingTasks)
	case startSeconds+tuning.MinOffloadGain.Seconds() > candidate.LocalWaitSeconds:
		t.Fatalf("offered to start in %.1f s, it waits %.1f s here", startSeconds, candidate.LocalWaitSeconds)
	}
}

// TestChooseCell holds a choice to its bounds: an offloaded job stays, nothing goes to a cell without a recent
// digest or beyond the tasks it accepts, nothing without free capacity where the expected wait is unknown, and
// nothing that would not gain by the margin.
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
