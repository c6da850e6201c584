package simulation

import (
	"fmt"
	"strconv"
	"testing"

	"sableusher/internal/tuning"
	"sableusher/internal/zonehealth"
)

// zoneStateCheck is the result of comparing the zone states that the controllers logged with the heartbeats that they
// counted.
type zoneStateCheck struct {
	partitions   int                  // how often a process logged that a zone is partitioned
	mostExpected map[zoneObserver]int // machines of the zone whose heartbeats were expected
	mismatches   []string             // counts that contradict the state, or whose state was not logged
}

// checkZoneStates compares the zone states that the controllers' processes logged with the heartbeats that they
// counted. A controller that expects enough machines of a zone and receives heartbeats of less than
// tuning.PartitionReportingShare of them must consider the zone partitioned or lost at once, and must have logged that.
func checkZoneStates(records []logRecord) zoneStateCheck {
	check := zoneStateCheck{mostExpected: map[zoneObserver]int{}}
	logged, processes := map[zoneObserver]string{}, processesByNode{}
	for _, record := range records {
		observer := observerOf(record)
		switch record.message {
		case messageSessionOpen:
			if processes.recordProcess(record) {
				deleteNodeEntries(logged, observer.node)
			}
		case messageZoneChanged:
			logged[observer] = record.attributes[keyState]
			if record.attributes[keyState] == zonehealth.Partitioned.String() {
				check.partitions++
			}
		case messageZoneCounted:
			check.addCount(observer, record, logged[observer])
		}
	}
	return check
}

// addCount compares a heartbeat count with the state that was logged last. An empty state means that none was logged,
// as for a zone that has always been serving.
func (c *zoneStateCheck) addCount(observer zoneObserver, record logRecord, logged string) {
	expected, received := intAttribute(record, keyExpected), intAttribute(record, keyReceived)
	c.mostExpected[observer] = max(c.mostExpected[observer], expected)
	if logged == "" {
		logged = zonehealth.Serving.String()
	}
	state := record.attributes[keyState]
	// A zone that stays partitioned becomes lost, so this state counts as partitioned too.
	mustBePartitioned := expected >= tuning.PartitionMinMachines &&
		float64(received) < tuning.PartitionReportingShare*float64(expected)
	partitioned := state == zonehealth.Partitioned.String() || state == zonehealth.Lost.String()
	if mustBePartitioned && !partitioned {
		c.mismatches = append(c.mismatches, fmt.Sprintf("%+v at %v: received heartbeats of %d of %d machines, state %s",
			observer, record.time, received, expected, state))
	}
	if state != logged {
		c.mismatches = append(c.mismatches, fmt.Sprintf("%+v at %v: the state is %s, but the log has %s",
			observer, record.time, state, logged))
	}
}

// intAttribute returns an attribute as a number, or -1 if it is not a number.
func intAttribute(record logRecord, key string) int {
	n, err := strconv.Atoi(record.attributes[key])
	if err != nil {
		return -1
	}
	return n
}

// TestCheckZoneStates checks how many partitions and mismatches checkZoneStates finds in short logs.
func TestCheckZoneStates(t *testing.T) {
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
	partitioned := line(messageZoneChanged, keyState, "cut")
	lowCount := line(messageZoneCounted, keyExpected, "13", keyReceived, "2", keyState, "cut")
	for name, test := range map[string]struct {
		records        []logRecord
		wantPartitions int
		wantMismatches int
	}{
		"seen by a process that restarts": {[]logRecord{open, serving, partitioned, lowCount, restart, serving}, 1, 0},
		"nothing to see": {[]logRecord{
			open, line(messageZoneCounted, keyExpected, "3", keyReceived, "0", keyState, "serving"),
		}, 0, 0},
		"seen too late": {[]logRecord{
			open, line(messageZoneCounted, keyExpected, "4", keyReceived, "0", keyState, "serving"), partitioned,
			lowCount,
		}, 1, 1},
		"seen, not logged":       {[]logRecord{open, serving, lowCount}, 0, 1},
		"state outlives restart": {[]logRecord{open, serving, partitioned, lowCount, restart, lowCount}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			check := checkZoneStates(test.records)
			if check.partitions != test.wantPartitions || len(check.mismatches) != test.wantMismatches {
				t.Errorf("%d partitions, mismatches %q; want %d, %d",
					check.partitions, check.mismatches, test.wantPartitions, test.wantMismatches)
			}
		})
	}
}
