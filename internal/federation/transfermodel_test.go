package federation

import (
	"fmt"
	"maps"
	"slices"
)

// modelTasks is the number of tasks of the job in the model.
const modelTasks = 1

// taskSet is a set of tasks of the job, indexed by task.
type taskSet [modelTasks]bool

var (
	noTasks  taskSet
	allTasks = everyTask()
)

func everyTask() (set taskSet) {
	for i := range set {
		set[i] = true
	}
	return set
}

// count returns the number of tasks in the set.
func (s taskSet) count() (count int) {
	for _, in := range s {
		if in {
			count++
		}
	}
	return count
}

// The cells of the model.
const (
	homeCell = iota
	hostCell
	cellCount
)

// cellState is the state of one cell: the contents of its key-value store and the tasks that run in it.
type cellState struct {
	epochs            EpochPair
	clean             bool // no task that was started under an earlier epoch can still run
	inventoryReceived bool // home has received the host's inventory under its present epoch
	home              HomeTransfer
	lastNumber        uint64 // number of the last transfer that home has offered
	host              HostTransfers
	// running are the tasks that run in the cell. completed are those recorded as completed in the cell; the host's
	// are cleared when it releases or ends the transfer, and those of a restored cell when it becomes clean.
	running, completed taskSet
}

// isIdle reports whether the cell is clean and runs no task of the job.
func (c *cellState) isIdle() bool { return c.clean && c.running == noTasks }

// messageKind is the kind of a message between the cells.
type messageKind string

const (
	requestMessage          messageKind = "request"
	statusMessage           messageKind = "status"
	acknowledgementMessage  messageKind = "acknowledgement" // home has received the result
	inventoryRequestMessage messageKind = "inventory request"
	inventoryMessage        messageKind = "inventory"
	epochMessage            messageKind = "epoch" // carries nothing but the sender's epoch
)

// modelMessage is a message between the cells.
type modelMessage struct {
	envelope  Envelope
	to        int // homeCell or hostCell
	kind      messageKind
	request   TransferRequest
	status    TransferStatus
	inventory HostTransfers
}

func (m modelMessage) key() string {
	return fmt.Sprint(m.envelope, m.to, m.kind, m.request, m.status, m.inventory)
}

// model is one state of the model: both cells, all messages that may still arrive, and what the user knows.
type model struct {
	cells             [cellCount]cellState
	snapshots         [cellCount]*cellState
	lossesLeft        [cellCount]int // how often each cell may still lose writes
	transfersLeft     int
	uninterrupted     bool // the job is neither recalled nor cancelled
	sent              map[string]modelMessage
	cancelRequested   bool
	completedAnywhere taskSet // completed in any cell at any time
	reported          Result  // the result that was reported to the user
	homeLostWrites    bool    // the lost writes may include the reported result
	violation         string
}

func newModel(losses [cellCount]int, transfers int) model {
	m := model{lossesLeft: losses, transfersLeft: transfers, sent: map[string]modelMessage{}}
	for i := range m.cells {
		cell := &m.cells[i]
		cell.epochs, cell.clean, cell.inventoryReceived = EpochPair{Own: 1, Peer: 1}, true, true
	}
	return m
}

func (m *model) key() string {
	snapshot := func(cell *cellState) string {
		if cell == nil {
			return "-"
		}
		return fmt.Sprint(*cell)
	}
	return fmt.Sprint(
		m.cells, snapshot(m.snapshots[homeCell]), snapshot(m.snapshots[hostCell]), m.lossesLeft, m.transfersLeft,
		slices.Sorted(maps.Keys(m.sent)), m.cancelRequested, m.completedAnywhere, m.reported)
}

func (m *model) clone() model {
	copied := *m
	copied.sent = maps.Clone(m.sent)
	host := &copied.cells[hostCell].host
	host.Transfers = slices.Clone(host.Transfers)
	return copied
}

// send sends a message to the other cell. The message may arrive at any time and any number of times from then on.
func (m *model) send(from int, message modelMessage) {
	message.to = cellCount - 1 - from
	message.envelope = m.cells[from].epochs.Envelope()
	m.sent[message.key()] = message
}

// defect is a fault of the protocol that a test injects into the model.
type defect string

const (
	noDefect                   defect = ""
	homeReclaimsOnSilence      defect = "home reclaims a job when the host is silent"
	hostReleasesRunning        defect = "the host releases a job whose tasks still run"
	transferNumbersIgnored     defect = "the host accepts transfer numbers that it has already received"
	homeStartsBeforeInventory  defect = "home starts the job before it has received the inventory"
	earlierEpochsAccepted      defect = "messages of earlier epochs are applied"
	restoredHostStartsTransfer defect = "a restored host starts tasks of transfers from earlier epochs"
	restoredCellIsClean        defect = "a restored cell is treated as clean while tasks still run"
	homeIgnoresStatuses        defect = "home ignores the statuses that the host reports"
)

// successors collects the possible next states of a state, by the name of the step that leads to each.
type successors struct {
	*model
	injected defect
	next     map[string]model
}

// successors returns every possible next state, by the name of the step that leads to it.
func (m *model) successors(injected defect) map[string]model {
	s := successors{model: m, injected: injected, next: map[string]model{}}
	s.addHomeSteps()
	s.addUserSteps()
	s.addHostSteps()
	for i := range m.cells {
		s.addTaskSteps(i)
		s.addLossSteps(i)
	}
	s.addArrivals()
	return s.next
}

// add adds the state that results from a change.
func (s *successors) add(name string, change func(*model)) {
	next := s.clone()
	change(&next)
	s.next[name] = next
}

// homeMayStart reports whether home may start tasks of the job. It disregards a cancellation.
func (s *successors) homeMayStart() bool {
	home := &s.cells[homeCell]
	hasInventory := home.inventoryReceived || s.injected == homeStartsBeforeInventory
	return home.clean && hasInventory && home.home.State == HomeOwned
}

// addHomeSteps adds the steps of home's leader that concern the transfer.
func (s *successors) addHomeSteps() {
	home := &s.cells[homeCell]
	if s.homeMayStart() && home.isIdle() && s.transfersLeft > 0 {
		if offloaded, ok := home.home.Offload(home.lastNumber + 1); ok {
			s.add("offload", func(next *model) {
				next.cells[homeCell].home = offloaded
				next.cells[homeCell].lastNumber++
				next.transfersLeft--
			})
		}
	}
	if request, ok := home.home.Request(); ok && home.inventoryReceived {
		s.add("request", func(next *model) {
			next.send(homeCell, modelMessage{kind: requestMessage, request: request})
		})
		if !home.home.Recalled && !s.uninterrupted {
			s.add("recall", func(next *model) { next.cells[homeCell].home.Recalled = true })
		}
		if s.injected == homeReclaimsOnSilence {
			s.add("take back", func(next *model) { next.cells[homeCell].home.State = HomeOwned })
		}
	}
	if !home.inventoryReceived && home.clean {
		s.add("request the inventory", func(next *model) {
			next.send(homeCell, modelMessage{kind: inventoryRequestMessage})
		})
	}
}

// addUserSteps adds the user's cancellation and home's reports to the user.
func (s *successors) addUserSteps() {
	if !s.cancelRequested && !s.uninterrupted {
		s.add("cancel", func(next *model) {
			next.cancelRequested = true
			next.cells[homeCell].home.Cancelled = true
		})
	}
	if s.reported != ResultNone {
		return
	}
	home := &s.cells[homeCell]
	endedHere := s.homeMayStart() && home.isIdle()
	switch {
	case home.home.State == HomeEnded:
		s.add("report", (*model).report)
	case endedHere && home.completed == allTasks:
		s.add("end at home", func(next *model) { next.endAtHome(ResultDone) })
	case endedHere && home.home.Cancelled:
		s.add("end at home as cancelled", func(next *model) { next.endAtHome(ResultCancelled) })
	}
}

// report reports to the user the result that home has received from the host.
func (m *model) report() {
	m.reported = m.cells[homeCell].home.Result
	runs := m.cells[homeCell].running != noTasks || m.cells[hostCell].running != noTasks
	notDone := m.reported == ResultDone && m.completedAnywhere != allTasks
	if notDone || m.reported == ResultCancelled && runs {
		m.violation = fmt.Sprintf("result %v reported too early", m.reported)
	}
}

func (m *model) endAtHome(result Result) {
	home := &m.cells[homeCell].home
	home.State, home.Result, m.reported = HomeEnded, result, result
}

// addHostSteps adds the steps of the host's leader that concern the transfers it has recorded.
func (s *successors) addHostSteps() {
	host := &s.cells[hostCell]
	if !host.clean {
		return
	}
	boundTasks := host.running.count()
	if s.injected == hostReleasesRunning {
		boundTasks = 0
	}
	for _, transfer := range host.host.Transfers {
		s.addReleaseAndEnd(transfer, boundTasks)
		if transfer.Status == HostEnded {
			s.add(fmt.Sprint("status ", transfer.Number), func(next *model) {
				next.send(hostCell, modelMessage{kind: statusMessage, status: host.host.Status(transfer.Number)})
			})
		}
	}
}

// addReleaseAndEnd adds the steps in which the host returns a transfer to home or records how the job ended.
func (s *successors) addReleaseAndEnd(transfer HostTransfer, boundTasks int) {
	host := &s.cells[hostCell]
	addHost := func(name string, after HostTransfers, ok bool) {
		if !ok {
			return
		}
		s.add(fmt.Sprint(name, transfer.Number), func(next *model) {
			next.cells[hostCell].host, next.cells[hostCell].completed = after, noTasks
		})
	}
	released, ok := host.host.Release(transfer.Number, boundTasks)
	addHost("release ", released, ok)
	if host.completed == allTasks {
		ended, ok := host.host.Complete(transfer.Number, ResultDone, boundTasks)
		addHost("done ", ended, ok)
	} else if transfer.Cancelled {
		ended, ok := host.host.Complete(transfer.Number, ResultCancelled, boundTasks)
		addHost("cancelled ", ended, ok)
	}
}

// mayStart reports whether a cell may start tasks of the job.
func (s *successors) mayStart(cell int) bool {
	if cell == homeCell {
		return s.homeMayStart() && !s.cells[homeCell].home.Cancelled
	}
	host := &s.cells[hostCell]
	restoredStarts := s.injected == restoredHostStartsTransfer
	if !host.clean && !restoredStarts {
		return false
	}
	return slices.ContainsFunc(host.host.Transfers, func(transfer HostTransfer) bool {
		return host.host.CanStart(transfer.Number, host.epochs.Own) ||
			restoredStarts && transfer.Status == HostHeld && !transfer.Cancelled
	})
}

// addTaskSteps adds the steps in which tasks start in a cell, end there or are lost with their machines.
func (s *successors) addTaskSteps(cell int) {
	state := &s.cells[cell]
	for task := range modelTasks {
		switch {
		case state.running[task]:
			s.add(fmt.Sprint("end of task ", cell, task), func(next *model) {
				next.cells[cell].running[task] = false
				next.cells[cell].completed[task], next.completedAnywhere[task] = true, true
			})
			s.add(fmt.Sprint("loss of task ", cell, task), func(next *model) { next.cells[cell].running[task] = false })
		case s.mayStart(cell) && !state.completed[task]:
			s.add(fmt.Sprint("start of task ", cell, task), func(next *model) { next.startTask(cell, task) })
		}
	}
}

func (m *model) startTask(cell, task int) {
	m.cells[cell].running[task] = true
	if m.cells[cellCount-1-cell].running[task] {
		m.violation = "task runs in both cells"
	}
	if m.reported != ResultNone && !m.homeLostWrites {
		m.violation = "task starts after a result was reported"
	}
}

// addLossSteps adds the steps in which the key-value store of a cell is restored from an earlier snapshot. Tasks
// that ran at that time may keep running until the cell is clean.
func (s *successors) addLossSteps(cell int) {
	state := &s.cells[cell]
	if s.lossesLeft[cell] > 0 {
		if s.snapshots[cell] == nil {
			s.add(fmt.Sprint("snapshot ", cell), func(next *model) {
				snapshot := next.cells[cell]
				next.snapshots[cell] = &snapshot
			})
		} else {
			s.add(fmt.Sprint("restore ", cell), func(next *model) { next.restore(cell) })
		}
	}
	if state.clean {
		return
	}
	if state.running == noTasks || s.injected == restoredCellIsClean {
		s.add(fmt.Sprint("clean ", cell), func(next *model) { next.markClean(cell) })
	} else {
		s.add(fmt.Sprint("machines deleted ", cell), func(next *model) { next.cells[cell].running = noTasks })
	}
}

func (m *model) restore(cell int) {
	epoch, running := m.cells[cell].epochs.Own+1, m.cells[cell].running
	m.cells[cell] = *m.snapshots[cell]
	m.snapshots[cell] = nil
	m.lossesLeft[cell]--
	m.homeLostWrites = m.homeLostWrites || cell == homeCell
	state := &m.cells[cell]
	state.epochs.Own, state.running, state.clean = epoch, running, false
	state.inventoryReceived = cell == hostCell
	state.host.Transfers = slices.Clone(state.host.Transfers)
}

// markClean lets a restored cell take part in the exchange again. All its machines have been deleted, and tasks
// that were completed there run again.
func (m *model) markClean(cell int) {
	state := &m.cells[cell]
	state.clean, state.completed = true, noTasks
	state.host = state.host.DropEarlierEpochs(state.epochs.Own)
}

// addArrivals adds the arrival of each message that was ever sent.
func (s *successors) addArrivals() {
	for _, key := range slices.Sorted(maps.Keys(s.sent)) {
		message := s.sent[key]
		epochs, ok := s.cells[message.to].epochs.Accept(message.envelope)
		s.add("arrives "+key, func(next *model) {
			next.cells[message.to].epochs = epochs
			if ok || s.injected == earlierEpochsAccepted {
				next.receive(message, s.injected)
			} else if message.to == hostCell && message.kind != acknowledgementMessage {
				next.send(hostCell, modelMessage{kind: epochMessage})
			}
		})
	}
}

// receive applies an accepted message at its receiver.
func (m *model) receive(message modelMessage, injected defect) {
	switch message.kind {
	case requestMessage:
		m.receiveRequest(message.request, injected)
	case statusMessage:
		m.receiveStatus(message.status, injected)
	case acknowledgementMessage:
		host := &m.cells[hostCell]
		host.host = host.host.Forget(message.status.Number)
	case inventoryRequestMessage:
		if host := &m.cells[hostCell]; host.clean {
			m.send(hostCell, modelMessage{kind: inventoryMessage, inventory: host.host})
		}
	case inventoryMessage:
		m.receiveInventory(message.inventory)
	}
}

func (m *model) receiveRequest(request TransferRequest, injected defect) {
	host := &m.cells[hostCell]
	if !host.clean {
		return
	}
	if injected == transferNumbersIgnored {
		host.host.HighestNumber = 0
	}
	var status TransferStatus
	host.host, status = host.host.ApplyRequest(request, host.epochs.Own, true)
	m.send(hostCell, modelMessage{kind: statusMessage, status: status})
}

func (m *model) receiveStatus(status TransferStatus, injected defect) {
	home := &m.cells[homeCell]
	if !home.inventoryReceived && injected != homeStartsBeforeInventory {
		return
	}
	if home.home.ReleasesHost(status) || injected == homeIgnoresStatuses {
		m.send(homeCell, modelMessage{kind: acknowledgementMessage, status: status})
		return
	}
	home.home = home.home.ApplyStatus(status)
}

func (m *model) receiveInventory(inventory HostTransfers) {
	home := &m.cells[homeCell]
	if home.inventoryReceived || !home.clean {
		return
	}
	home.inventoryReceived = true
	home.lastNumber = max(home.lastNumber, inventory.HighestNumber)
	home.home = home.home.Reconcile(inventory.Transfers)
}
