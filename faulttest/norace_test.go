//go:build !race

package faulttest

// defaultSchedules is the number of fault schedules in an ordinary test run.
const defaultSchedules = 500
