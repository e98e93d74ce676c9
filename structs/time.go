package structs

import "time"

// Timestamp is a point in time in nanoseconds, since the Unix epoch unless
// another clock is named. Reducers receive it with every event and never read a
// clock.
type Timestamp int64

// TimestampOf converts t to a Timestamp.
func TimestampOf(t time.Time) Timestamp { return Timestamp(t.UnixNano()) }

// Add returns t shifted by d.
func (t Timestamp) Add(d time.Duration) Timestamp { return t + Timestamp(d) }

// Sub returns the duration from u to t.
func (t Timestamp) Sub(u Timestamp) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Timestamp) Before(u Timestamp) bool { return t < u }

// After reports whether t is later than u.
func (t Timestamp) After(u Timestamp) bool { return t > u }

// Time converts t to a time.Time in UTC.
func (t Timestamp) Time() time.Time { return time.Unix(0, int64(t)).UTC() }
