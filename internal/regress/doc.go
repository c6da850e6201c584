// Package regress compares the bench's measurements of the sources as they are with the last ones on
// record. It owns nothing durable: the journal is the bench's, and is only read.
package regress
