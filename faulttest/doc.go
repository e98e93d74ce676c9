// Package faulttest runs the real reducers under seeded schedules of faults in
// virtual time and checks the guarantees after every step. It consists of test
// code; see docs/measurements-state.md for its commands.
package faulttest
