//go:build race

package faulttest

// defaultSchedules is lower under the race detector, which makes the driver ten
// times slower and cannot find races in it: each seed runs in one goroutine.
// .ci/run runs the full number of schedules without the race detector.
const defaultSchedules = 40
