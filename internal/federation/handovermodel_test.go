package federation

import (
	"fmt"
	"maps"
	"slices"
)

// modelTasks is how many tasks the job of the model has.
const modelTasks = 1

// taskSet tells something of each task of the job.
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

// count is how many tasks are in the set.
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

// cellState is one cell of the model: what its key-value store holds of the job, and what runs.
type cellState struct {
	epochs             EpochPair
	clean              bool // nothing of an earlier epoch runs any more
	inventoryReceived  bool // home has the host's inventory of this epoch
	home               HomeTransfer
	lastNumber         uint64 // of the transfers that home has offered
	host               HostTransfers
	running, completed taskSet // completed is what the records say, while the cell holds the right
}

// isIdle tells whether nothing of the job can run here any more.
func (c *cellState) isIdle() bool { return c.clean && c.running == noTasks }

// messageKind is the kind of a message of the model.
type messageKind string

const (
	requestMessage          messageKind = "request"
	statusMessage           messageKind = "status"
	acknowledgementMessage  messageKind = "acknowledgement" // home has the result
	inventoryRequestMessage messageKind = "inventory request"
	inventoryMessage        messageKind = "inventory"
	epochMessage            messageKind = "epoch" // tells the sender's epoch alone
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

// model is a state of the model: both cells, all messages that may still arrive, and the user.
type model struct {
	cells           [cellCount]cellState
	snapshots       [cellCount]*cellState
	lossesLeft      [cellCount]int // how often each cell may still lose writes
	transfersLeft   int
	uninterrupted   bool // nothing is recalled or cancelled
	sent            map[string]modelMessage
	cancelRequested bool
	ranAnywhere     taskSet // completed in some cell, at any time
	reported        Result  // what the user was told
	homeLostWrites  bool    // and with them perhaps what the user was told
	violation       string
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
		slices.Sorted(maps.Keys(m.sent)), m.cancelRequested, m.ranAnywhere, m.reported)
}

func (m *model) clone() model {
	copied := *m
	copied.sent = maps.Clone(m.sent)
	host := &copied.cells[hostCell].host
	host.Transfers = slices.Clone(host.Transfers)
	return copied
}

// send puts a message under way, where it stays: it may arrive at any time and any number of times.
func (m *model) send(from int, message modelMessage) {
	message.to = cellCount - 1 - from
	message.envelope = m.cells[from].epochs.Envelope()
	m.sent[message.key()] = message
}

// defect is a fault that a test puts into the model.
type defect string

const (
	noDefect                   defect = ""
	homeTakesBackOnSilence     defect = "home takes back what it hears nothing of"
	hostReleasesRunning        defect = "the host releases what still runs"
	numbersFenceNothing        defect = "numbers fence nothing"
	homeStartsBeforeInventory  defect = "home starts before it has the inventory"
	earlierEpochsCount         defect = "messages of earlier epochs count"
	restoredHostStartsTransfer defect = "a restored host starts the transfers it held"
	restoredCellIsClean        defect = "a restored cell counts as clean at once"
	homeIgnoresStatuses        defect = "home ignores statuses"
)

// successors are the states that may come next after a state, by the name of what happens.
type successors struct {
	*model
	planted defect
	next    map[string]model
}

// successors returns every state that may come next.
func (m *model) successors(planted defect) map[string]model {
	s := successors{model: m, planted: planted, next: map[string]model{}}
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

// add adds the state after a change.
func (s *successors) add(name string, change func(*model)) {
	next := s.clone()
	change(&next)
	s.next[name] = next
}

// homeMayStart tells whether home may start tasks of the job, but for a cancellation.
func (s *successors) homeMayStart() bool {
	home := &s.cells[homeCell]
	hasInventory := home.inventoryReceived || s.planted == homeStartsBeforeInventory
	return home.clean && hasInventory && home.home.State == HomeOwned
}

// addHomeSteps adds what the leader at home may do about the transfer.
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
		if s.planted == homeTakesBackOnSilence {
			s.add("take back", func(next *model) { next.cells[homeCell].home.State = HomeOwned })
		}
	}
	if !home.inventoryReceived && home.clean {
		s.add("request the inventory", func(next *model) {
			next.send(homeCell, modelMessage{kind: inventoryRequestMessage})
		})
	}
}

// addUserSteps adds the user's cancellation and what home may answer the user.
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

// report tells the user the result that home has of the host.
func (m *model) report() {
	m.reported = m.cells[homeCell].home.Result
	runs := m.cells[homeCell].running != noTasks || m.cells[hostCell].running != noTasks
	notDone := m.reported == ResultDone && m.ranAnywhere != allTasks
	if notDone || m.reported == ResultCancelled && runs {
		m.violation = fmt.Sprintf("reported %v too soon", m.reported)
	}
}

func (m *model) endAtHome(result Result) {
	home := &m.cells[homeCell].home
	home.State, home.Result, m.reported = HomeEnded, result, result
}

// addHostSteps adds what the leader of the host may do about the transfers that it has.
func (s *successors) addHostSteps() {
	host := &s.cells[hostCell]
	if !host.clean {
		return
	}
	boundTasks := host.running.count()
	if s.planted == hostReleasesRunning {
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

// addReleaseAndEnd adds that the host returns a transfer, or records how it ended.
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

// mayStart tells whether a cell may start tasks of the job.
func (s *successors) mayStart(cell int) bool {
	if cell == homeCell {
		return s.homeMayStart() && !s.cells[homeCell].home.Cancelled
	}
	host := &s.cells[hostCell]
	restoredStarts := s.planted == restoredHostStartsTransfer
	if !host.clean && !restoredStarts {
		return false
	}
	return slices.ContainsFunc(host.host.Transfers, func(transfer HostTransfer) bool {
		return host.host.CanStart(transfer.Number, host.epochs.Own) ||
			restoredStarts && transfer.Status == HostHolds && !transfer.Cancelled
	})
}

// addTaskSteps adds that tasks start in a cell, end there or are lost with their machines.
func (s *successors) addTaskSteps(cell int) {
	state := &s.cells[cell]
	for task := range modelTasks {
		switch {
		case state.running[task]:
			s.add(fmt.Sprint("end of task ", cell, task), func(next *model) {
				next.cells[cell].running[task] = false
				next.cells[cell].completed[task], next.ranAnywhere[task] = true, true
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
		m.violation = "ran_twice"
	}
	if m.reported != ResultNone && !m.homeLostWrites {
		m.violation = "ran after its end was reported"
	}
}

// addLossSteps adds that the key-value store of a cell is restored from an earlier state. What ran goes on
// until the cell is clean.
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
	if state.running == noTasks || s.planted == restoredCellIsClean {
		s.add(fmt.Sprint("clean ", cell), func(next *model) { next.markClean(cell) })
	} else {
		s.add(fmt.Sprint("machines returned ", cell), func(next *model) { next.cells[cell].running = noTasks })
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

// markClean lets a restored cell take part again. Its machines are gone, and what was done is done again.
func (m *model) markClean(cell int) {
	state := &m.cells[cell]
	state.clean, state.completed = true, noTasks
	state.host = state.host.DropEarlierEpochs(state.epochs.Own)
}

// addArrivals adds that any message that was ever sent arrives.
func (s *successors) addArrivals() {
	for _, key := range slices.Sorted(maps.Keys(s.sent)) {
		message := s.sent[key]
		epochs, ok := s.cells[message.to].epochs.Accept(message.envelope)
		s.add("arrives "+key, func(next *model) {
			next.cells[message.to].epochs = epochs
			if ok || s.planted == earlierEpochsCount {
				next.receive(message, s.planted)
			} else if message.to == hostCell && message.kind != acknowledgementMessage {
				next.send(hostCell, modelMessage{kind: epochMessage})
			}
		})
	}
}

// receive applies a message.
func (m *model) receive(message modelMessage, planted defect) {
	switch message.kind {
	case requestMessage:
		m.receiveRequest(message.request, planted)
	case statusMessage:
		m.receiveStatus(message.status, planted)
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

func (m *model) receiveRequest(request TransferRequest, planted defect) {
	host := &m.cells[hostCell]
	if !host.clean {
		return
	}
	if planted == numbersFenceNothing {
		host.host.HighestNumber = 0
	}
	var status TransferStatus
	host.host, status = host.host.ApplyRequest(request, host.epochs.Own, true)
	m.send(hostCell, modelMessage{kind: statusMessage, status: status})
}

func (m *model) receiveStatus(status TransferStatus, planted defect) {
	home := &m.cells[homeCell]
	if !home.inventoryReceived && planted != homeStartsBeforeInventory {
		return
	}
	if home.home.ReleasesHost(status) || planted == homeIgnoresStatuses {
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
