package simulation

import (
	"fmt"
	"strconv"
	"testing"

	"sableusher/internal/tuning"
	"sableusher/internal/zonehealth"
)

// zoneJudgement is what the log says of how the controllers judged zones by the heartbeats that they counted.
type zoneJudgement struct {
	losses       int                  // how often a process logged that a zone is cut off
	mostExpected map[zoneObserver]int // machines of the zone that should have been heard
	faults       []string             // counts that the state does not follow from, or that it was not logged for
}

// judgeZoneStates holds the states that the controllers' processes logged of zones against the heartbeats that they
// counted: a controller that expects enough machines of a zone and hears fewer than tuning.PartitionReportingShare of
// them has it cut off or lost at once, and has logged that.
func judgeZoneStates(records []logRecord) zoneJudgement {
	judgement := zoneJudgement{mostExpected: map[zoneObserver]int{}}
	logged, processes := map[zoneObserver]string{}, processesByNode{}
	for _, record := range records {
		observer := observerOf(record)
		switch record.message {
		case messageSessionOpen:
			if processes.begins(record) {
				forgetObserver(logged, observer.node)
			}
		case messageZoneChanged:
			logged[observer] = record.attributes[keyState]
			if record.attributes[keyState] == zonehealth.Partitioned.String() {
				judgement.losses++
			}
		case messageZoneCounted:
			judgement.addCount(observer, record, logged[observer])
		}
	}
	return judgement
}

// addCount takes in a count with the state that was logged last; empty: none was.
func (j *zoneJudgement) addCount(observer zoneObserver, record logRecord, logged string) {
	expected, received := intAttribute(record, keyExpected), intAttribute(record, keyReceived)
	j.mostExpected[observer] = max(j.mostExpected[observer], expected)
	if logged == "" {
		logged = zonehealth.Serving.String()
	}
	state := record.attributes[keyState]
	isLost := expected >= tuning.PartitionMinMachines &&
		float64(received) < tuning.PartitionReportingShare*float64(expected)
	unavailable := state == zonehealth.Partitioned.String() || state == zonehealth.Lost.String()
	if isLost && !unavailable {
		j.faults = append(j.faults, fmt.Sprintf("%+v at %v: %d of %d heard, and %s",
			observer, record.time, received, expected, state))
	}
	if state != logged {
		j.faults = append(j.faults, fmt.Sprintf("%+v at %v: %s, but the log has %s",
			observer, record.time, state, logged))
	}
}

// intAttribute gives an attribute that is a number; one that is not counts as -1.
func intAttribute(record logRecord, key string) int {
	n, err := strconv.Atoi(record.attributes[key])
	if err != nil {
		return -1
	}
	return n
}

// TestJudgeZoneStates: what the check finds, and what it does not.
func TestJudgeZoneStates(t *testing.T) {
	line := func(message string, attributes ...string) logRecord {
		common := map[string]string{keyNode: firstController, keyZone: zoneNorth}
		record := logRecord{message: message, attributes: common}
		for i := 0; i < len(attributes); i += 2 {
			record.attributes[attributes[i]] = attributes[i+1]
		}
		return record
	}
	open := line(messageSessionOpen, keyIncarnation, "1")
	restart := line(messageSessionOpen, keyIncarnation, "2")
	serving := line(messageZoneCounted, keyExpected, "13", keyReceived, "13", keyState, "serving")
	cut := line(messageZoneChanged, keyState, "cut")
	countedCut := line(messageZoneCounted, keyExpected, "13", keyReceived, "2", keyState, "cut")
	for name, test := range map[string]struct {
		records    []logRecord
		wantLosses int
		wantFaults int
	}{
		"seen by a process that restarts": {[]logRecord{open, serving, cut, countedCut, restart, serving}, 1, 0},
		"nothing to see": {[]logRecord{
			open, line(messageZoneCounted, keyExpected, "3", keyReceived, "0", keyState, "serving"),
		}, 0, 0},
		"seen too late": {[]logRecord{
			open, line(messageZoneCounted, keyExpected, "4", keyReceived, "0", keyState, "serving"), cut, countedCut,
		}, 1, 1},
		"seen, not logged":       {[]logRecord{open, serving, countedCut}, 0, 1},
		"state outlives restart": {[]logRecord{open, serving, cut, countedCut, restart, countedCut}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			judgement := judgeZoneStates(test.records)
			if judgement.losses != test.wantLosses || len(judgement.faults) != test.wantFaults {
				t.Errorf("%d losses, faults %q; want %d, %d",
					judgement.losses, judgement.faults, test.wantLosses, test.wantFaults)
			}
		})
	}
}
