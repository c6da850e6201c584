package clusterstate

// changeNotifier tells others in this process of changes. The State's lock guards it.
type changeNotifier struct {
	feeds       []*ChangeFeed
	subscribers []chan struct{}
}

// markMachine enters a changed machine into all feeds.
func (n *changeNotifier) markMachine(name string) {
	for _, feed := range n.feeds {
		feed.machines[name] = struct{}{}
	}
}

// markJob enters a changed job into all feeds.
func (n *changeNotifier) markJob(id string) {
	for _, feed := range n.feeds {
		feed.jobs[id] = struct{}{}
	}
}

// notify wakes the subscribers that are not yet awake.
func notify(subscribers []chan struct{}) {
	for _, subscriber := range subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// Subscribe returns a channel that receives after each group of changes; a receipt may stand for several.
func (s *State) Subscribe() <-chan struct{} {
	subscriber := make(chan struct{}, 1)
	s.Lock()
	defer s.Unlock()
	s.changes.subscribers = append(s.changes.subscribers, subscriber)
	return subscriber
}

// ChangeFeed collects what changed since it was last taken: the machines whose record or bindings did, and
// the jobs of which any record, or the outcome of a dependency, did. Work that follows it costs what changed,
// not what there is.
type ChangeFeed struct {
	machines, jobs map[string]struct{}
}

// FollowChanges returns a feed of the changes from now on, which starts with all there is. Its caller takes
// from it now and then.
func (s *State) FollowChanges() *ChangeFeed {
	s.Lock()
	defer s.Unlock()
	feed := &ChangeFeed{machines: map[string]struct{}{}, jobs: map[string]struct{}{}}
	for name := range s.Machines {
		feed.machines[name] = struct{}{}
	}
	for id := range s.Jobs {
		feed.jobs[id] = struct{}{}
	}
	s.changes.feeds = append(s.changes.feeds, feed)
	return feed
}

// TakeMachines returns and empties the feed's machines. Callers hold the State's lock, and no two take at once.
func (f *ChangeFeed) TakeMachines() map[string]struct{} {
	machines := f.machines
	f.machines = map[string]struct{}{}
	return machines
}

// TakeJobs returns and empties the feed's jobs; as TakeMachines.
func (f *ChangeFeed) TakeJobs() map[string]struct{} {
	jobs := f.jobs
	f.jobs = map[string]struct{}{}
	return jobs
}
