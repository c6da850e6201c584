package federation

// HomeState is the state of a job at its home, the cell that accepted it from its user.
type HomeState int

// States of a job at its home.
const (
	HomeOwned     HomeState = iota // home holds the right to start the job
	HomeOffloaded                  // home does not hold that right; only a report of the host returns it
	HomeEnded                      // the job has ended as the host reported; home may report it to the user
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

// HomeTransfer is the part of a job's record in which its home tracks the job's transfer to another cell. Its
// transitions are:
//
//	owned      -> offloaded  by Offload
//	offloaded  -> owned      when the host reports absent and the user has not cancelled the job
//	offloaded  -> ended      when the host reports ended, or absent after the user has cancelled the job
type HomeTransfer struct {
	State     HomeState
	Number    uint64 // number of the transfer, while offloaded
	Cancelled bool   // the user has cancelled the job; stored durably before the host is informed
	Recalled  bool   // home has asked the host to return the job
	Result    Result // how the job ended, as reported by the host
}

// Offload transfers the right to start the job to the host, under a transfer number that was never used between the two
// cells. A job can be offloaded only if it is owned, not cancelled and has no bound tasks. Offload returns false
// if it is not owned or is cancelled. The caller must check that no tasks are bound, and write the record on
// condition that it has not changed.
func (t HomeTransfer) Offload(number uint64) (out HomeTransfer, ok bool) {
	if t.State != HomeOwned || t.Cancelled {
		return t, false
	}
	t.State, t.Number, t.Recalled = HomeOffloaded, number, false
	return t, true
}

// Request returns the request that home repeatedly sends to the host while the job is offloaded. The first
// request is the offer. ok is false if the job is not offloaded.
func (t HomeTransfer) Request() (request TransferRequest, ok bool) {
	return TransferRequest{Number: t.Number, Cancelled: t.Cancelled, Recalled: t.Recalled}, t.State == HomeOffloaded
}

// ApplyStatus returns the transfer after a status report of the host. It ignores the status of a transfer other
// than the current one.
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

// ReleasesHost reports whether home no longer needs the host's record of a transfer, because it has applied the
// result or has started a later transfer. A home that has lost writes must not act on the result before it has
// applied the host's inventory.
func (t HomeTransfer) ReleasesHost(status TransferStatus) bool {
	return t.State != HomeOffloaded || t.Number != status.Number
}

// Reconcile applies the inventory of a host to the job's record at a home that has lost writes: a job that the
// host holds or has ended becomes offloaded, unless it has ended at home. held contains the host's transfers of
// this job. After a loss of writes, home may start jobs again only after every cell that it was joined with has
// sent its inventory.
func (t HomeTransfer) Reconcile(held []HostTransfer) HomeTransfer {
	for _, transfer := range held {
		if t.State != HomeEnded {
			t.State, t.Number = HomeOffloaded, transfer.Number
		}
	}
	return t
}
