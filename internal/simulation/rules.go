package simulation

import (
	"fmt"
	"strings"

	"sableusher/internal/wire"
)

// Rule is one rule that the checker holds the deployment to.
type Rule int

// Rules, with what breaks them.
const (
	RuleRanTwice     Rule = iota // a task on two machines at once
	RuleRanCancelled             // a task of a job whose cancellation was confirmed
	RuleWrongPlace               // a task where its description doesn't allow it
	RuleTooEarly                 // a task before a dependency is done
	RuleQuota                    // a team over its limit
	RuleRetries                  // more failures acknowledged than there are retries
	RuleInvented                 // a job that nobody submitted
	RuleAccepted                 // an accepted job that can never run
	RuleNotDone                  // a job called done before all its tasks completed
	RuleFailed                   // a job called failed that has retries left
	RuleWentBack                 // an answer older than an earlier one
	RuleForgotten                // an accepted job that is unknown, or whose questions get no answer
	RuleOrphaned                 // a job that outlives a dependency that was cancelled
	RuleLeftWaiting              // a job that waits beside capacity for it
	RuleMinimumShare             // a class or team that is served less than half
	RuleProtocol                 // a message that the protocol doesn't allow
)

// ruleNames are the names of the operators' rules where they have one.
var ruleNames = [...]string{
	RuleRanTwice:     "ran_twice",
	RuleRanCancelled: "ran_cancelled",
	RuleWrongPlace:   "wrong_place",
	RuleTooEarly:     "too_early",
	RuleQuota:        "quota",
	RuleRetries:      "repeats",
	RuleInvented:     "invented",
	RuleAccepted:     "accepted",
	RuleNotDone:      "not_done",
	RuleFailed:       "failed",
	RuleWentBack:     "went_back",
	RuleForgotten:    "forgotten",
	RuleOrphaned:     "orphaned",
	RuleLeftWaiting:  "left",
	RuleMinimumShare: "floor",
	RuleProtocol:     "protocol",
}

// String is the rule's name.
func (r Rule) String() string { return ruleNames[r] }

// Violation is one rule that was broken, with what broke it.
type Violation struct {
	Rule   Rule
	Detail string
}

// String is the rule and what broke it.
func (v Violation) String() string { return v.Rule.String() + ": " + v.Detail }

// Violations are violations in the order in which they were found.
type Violations []Violation

// String has a violation on each line.
func (v Violations) String() string {
	lines := make([]string, len(v))
	for i, violation := range v {
		lines[i] = violation.String()
	}
	return strings.Join(lines, "\n")
}

// Has tells whether a rule is among those that were broken.
func (v Violations) Has(rule Rule) bool {
	for _, violation := range v {
		if violation.Rule == rule {
			return true
		}
	}
	return false
}

// Observation is a state that a fault is meant to meet. A test of the fault shows that it did.
type Observation int

// Observations.
const (
	ObservedFastBoot Observation = iota
	ObservedArrayLeaseExpiry
	ObservedGangLeaseExpiry
	ObservedServiceLeaseExpiry
	ObservedLeaderChange
	ObservedLeaderChangeAtTeamLimit
	ObservedHeartbeatCopy
	ObservedCopyBeforeLiveHeartbeat
	ObservedLateWrite
	ObservedLostAnswerRead
	ObservedCancelAtCompletion
	ObservedCancelWhileRunning
	ObservedCancelOnOwnerChange
	ObservedCancelAfterEnd
	ObservedProbe
	ObservedProbeAnswered
	ObservedInvalidRequestRefused
	ObservedShortJob
)

var observationNames = [...]string{
	ObservedFastBoot:                "machine up within two seconds",
	ObservedArrayLeaseExpiry:        "array task ended by lease expiry",
	ObservedGangLeaseExpiry:         "gang task ended by lease expiry",
	ObservedServiceLeaseExpiry:      "service task ended by lease expiry",
	ObservedLeaderChange:            "change of leader",
	ObservedLeaderChangeAtTeamLimit: "change of leader while a team is at its limit",
	ObservedHeartbeatCopy:           "heartbeat copy",
	ObservedCopyBeforeLiveHeartbeat: "heartbeat copy before a live heartbeat",
	ObservedLateWrite:               "late write",
	ObservedLostAnswerRead:          "write with a lost answer read by another controller",
	ObservedCancelAtCompletion:      "cancellation at completion",
	ObservedCancelWhileRunning:      "cancellation while running",
	ObservedCancelOnOwnerChange:     "cancellations at a change of owner",
	ObservedCancelAfterEnd:          "cancellation after the end",
	ObservedProbe:                   "probe of all controllers",
	ObservedProbeAnswered:           "probe answered",
	ObservedInvalidRequestRefused:   "invalid request refused",
	ObservedShortJob:                "short job",
}

// String says what was observed.
func (o Observation) String() string { return observationNames[o] }

// leaseExpiryObservation is the observation that a task of a kind of job ended by lease expiry.
func leaseExpiryObservation(kind wire.JobKind) Observation {
	switch kind {
	case wire.KindArray:
		return ObservedArrayLeaseExpiry
	case wire.KindGang:
		return ObservedGangLeaseExpiry
	case wire.KindService:
		return ObservedServiceLeaseExpiry
	default:
		panic(fmt.Sprintf("unknown kind of job: %s", kind))
	}
}
