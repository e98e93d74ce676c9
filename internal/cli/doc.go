// Package cli implements the command line for operators, mangodrum.
//
// Results go to standard output, errors and progress to standard error. Exit
// codes: 0 success, 1 failure, 2 bad usage or input, 3 conflict,
// 4 unreachable.
package cli
