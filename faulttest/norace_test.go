//go:build !race

package faulttest

// ordinarySchedules is the number of schedules in the ordinary tests.
const ordinarySchedules = 500
