// Package daemon implements the command line of mangodrumd: it runs one
// instance, a stand-in for the platform, or a whole development cell in one
// process.
package daemon
