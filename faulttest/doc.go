// Package faulttest simulates a cell in virtual time: it runs the real
// reducers under seeded schedules of faults and checks the system's guarantees
// after every step. It contains only tests; docs/measurements-state.md lists
// the commands.
package faulttest
