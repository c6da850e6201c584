package tuning

import "time"

// Users' API.
const (
	// RequestBodyMaxBytes is the protocol's bound on a request body, in bytes.
	RequestBodyMaxBytes = 64 << 10
	// SubmitTimeout is how long a submission may wait for its durable record; users give up after 5 s.
	SubmitTimeout = 3500 * time.Millisecond
	// StatusTimeout is how long a status request may wait for its read barrier; users wait 2 s.
	StatusTimeout = 1600 * time.Millisecond
	// CancelWaitTimeout is how long a cancellation may wait for the job's tasks to leave their machines; longer
	// ones are asked again. Most leave within a second.
	CancelWaitTimeout = 2 * time.Second
	// MaxWaitingCancels bounds the cancellations that wait for it at once, a quarter of the requests being served.
	MaxWaitingCancels = MaxConcurrentRequests / 4
	// CancelPollInterval is how often a waiting cancellation checks whether they have.
	CancelPollInterval = 50 * time.Millisecond
	// RetryAfterSeconds is the Retry-After of a request that was shed, in seconds.
	RetryAfterSeconds = 1
	// HTTPReadTimeout bounds the reading of one request, so that slow clients hold no sockets.
	HTTPReadTimeout = 10 * time.Second
	// HTTPIdleTimeout closes connections that carry nothing.
	HTTPIdleTimeout = 90 * time.Second
	// ListenerSocketShare of the socket limit is what the listener accepts; the rest is for our own connections.
	ListenerSocketShare = 0.8
	// MaxConcurrentRequests bounds the users' requests being served at once.
	MaxConcurrentRequests = 256
	// ReadyMaxStateAge is the age of the cluster state past which a node calls itself not ready. Longer than an
	// ordinary hiccup, shorter than users' patience.
	ReadyMaxStateAge = 4 * time.Second
)
