package federation

// HomeState is the state of a job at its home, the cell that accepted it.
type HomeState int

// States of a job at home.
const (
	HomeOwned     HomeState = iota // home may start it
	HomeOffloaded                  // the right to start it has left; only the host's answer brings it back
	HomeEnded                      // over, as the host reported; home may answer its user
)

var homeStateNames = [...]string{HomeOwned: "owned", HomeOffloaded: "offloaded", HomeEnded: "ended"}

// String returns the name of the state.
func (s HomeState) String() string { return enumName(homeStateNames[:], int(s)) }

// Result is how a job ended.
type Result int

// Results.
const (
	ResultNone Result = iota
	ResultDone
	ResultCancelled
)

var resultNames = [...]string{ResultNone: "none", ResultDone: "done", ResultCancelled: "cancelled"}

// String returns the name of the result.
func (r Result) String() string { return enumName(resultNames[:], int(r)) }

// HomeTransfer is what the cell that accepted a job keeps of its transfer, in the job's record.
//
//	owned      Offload: offloaded
//	offloaded  the host reports absent: owned, or ended if the user has cancelled; it reports ended: ended
//	ended      final
type HomeTransfer struct {
	State     HomeState
	Number    uint64 // of the transfer, while offloaded
	Cancelled bool   // the user has asked to cancel; durable before the host learns of it
	Recalled  bool   // home wants the job back
	Result    Result
}

// Offload moves the right to start the job away, under a number that was never used between the two cells.
// Only a job that is owned, not cancelled and of which no task is bound can leave; the caller's change of the
// record is conditional on that. ok is false if it can't leave.
func (t HomeTransfer) Offload(number uint64) (out HomeTransfer, ok bool) {
	if t.State != HomeOwned || t.Cancelled {
		return t, false
	}
	t.State, t.Number, t.Recalled = HomeOffloaded, number, false
	return t, true
}

// Request returns what home sends to the host of an offloaded job, repeatedly until the job is not offloaded
// any more. The first request is the offer. ok is false if the job is not offloaded.
func (t HomeTransfer) Request() (request TransferRequest, ok bool) {
	return TransferRequest{Number: t.Number, Cancelled: t.Cancelled, Recalled: t.Recalled}, t.State == HomeOffloaded
}

// ApplyStatus applies what the host reports. A status of another transfer than the present one is ignored.
func (t HomeTransfer) ApplyStatus(status TransferStatus) HomeTransfer {
	if t.State != HomeOffloaded || status.Number != t.Number {
		return t
	}
	switch {
	case status.Status == HostEnded:
		t.State, t.Result = HomeEnded, status.Result
	case status.Status == HostAbsent && t.Cancelled:
		t.State, t.Result = HomeEnded, ResultCancelled
	case status.Status == HostAbsent:
		t.State = HomeOwned
	}
	return t
}

// ReleasesHost tells whether home no longer needs the host's record of a transfer, as it has applied the result
// or has gone on to a later transfer. A home that lost writes says so only once it has the host's inventory.
func (t HomeTransfer) ReleasesHost(status TransferStatus) bool {
	return t.State != HomeOffloaded || t.Number != status.Number
}

// Reconcile brings what a home that has lost writes knows of a job in line with the inventory of a host: a job
// that is held or ended there is offloaded. Home may start the jobs that it knew before only once every cell
// that it was joined with has sent an inventory.
func (t HomeTransfer) Reconcile(held []HostTransfer) HomeTransfer {
	for _, transfer := range held {
		if t.State != HomeEnded {
			t.State, t.Number = HomeOffloaded, transfer.Number
		}
	}
	return t
}
