package tuning

import "time"

// Constants of the users' API.
const (
	// RequestBodyMaxBytes is the largest request body that the protocol allows, in bytes.
	RequestBodyMaxBytes = 64 << 10
	// SubmitTimeout bounds the handling of a submission or a cancellation. Users time out after 5 s.
	SubmitTimeout = 3500 * time.Millisecond
	// StatusTimeout bounds the handling of a status request, including its read barrier. Users time out after 2 s.
	StatusTimeout = 1600 * time.Millisecond
	// CancelWaitTimeout bounds the wait of a cancellation for the release of the job's tasks. Most tasks are released
	// within a second; if it takes longer, the user is asked to retry.
	CancelWaitTimeout = 2 * time.Second
	// MaxWaitingCancels bounds the cancellations that wait concurrently for the release of tasks, so that they occupy
	// at most a quarter of the request slots.
	MaxWaitingCancels = MaxConcurrentRequests / 4
	// CancelPollInterval is the interval at which a waiting cancellation checks whether the tasks are released.
	CancelPollInterval = 50 * time.Millisecond
	// RetryAfterSeconds is the Retry-After value of a user request or health check answered with 503, in seconds.
	RetryAfterSeconds = 1
	// HTTPReadTimeout bounds the reading of one request, so that slow clients don't occupy sockets.
	HTTPReadTimeout = 10 * time.Second
	// HTTPIdleTimeout is the time after which an idle keep-alive connection is closed.
	HTTPIdleTimeout = 90 * time.Second
	// ListenerSocketShare is the share of the socket limit available to connections of users and agents; the rest is
	// for connections to other nodes, the key-value store, the cloud and agents.
	ListenerSocketShare = 0.8
	// MaxConcurrentRequests bounds the user requests that are served concurrently.
	MaxConcurrentRequests = 256
	// ReadyMaxStateAge is the age of the cluster state beyond which a node reports itself as not ready, takes over and
	// returns no shards, and reports its state as not recent to other nodes. It is longer than an ordinary delay of
	// the key-value store and shorter than the time after which users time out.
	ReadyMaxStateAge = 4 * time.Second
)
