package fairshare

import "fmt"

// GroupKind tells what the jobs of a Group have in common.
type GroupKind int

// The kinds of groups.
const (
	ClassGroup GroupKind = iota
	TeamGroup
)

// String returns the kind's name for logs.
func (k GroupKind) String() string {
	switch k {
	case ClassGroup:
		return "class"
	case TeamGroup:
		return "team"
	default:
		return fmt.Sprintf("GroupKind(%d)", int(k))
	}
}

// Group is a job class or a team: the jobs among which a share of service is counted.
type Group struct {
	Kind GroupKind
	Name string
}

// Class returns the group of a job class.
func Class(name string) Group { return Group{Kind: ClassGroup, Name: name} }

// Team returns the group of a team.
func Team(name string) Group { return Group{Kind: TeamGroup, Name: name} }
