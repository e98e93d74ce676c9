//go:build race

package faulttest

// ordinarySchedules is small under the race detector, which makes the driver ten
// times slower and finds nothing in it: it runs in one goroutine for each seed.
// .ci/run plays all ordinary schedules without the detector.
const ordinarySchedules = 40
