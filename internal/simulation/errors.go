package simulation

import "errors"

var (
	errConnectionReset   = errors.New("connection reset")
	errConnectionRefused = errors.New("connection refused")
)
