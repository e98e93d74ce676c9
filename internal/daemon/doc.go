// Package daemon is the command line of mangodrumd: it runs one instance, the
// platform's stand-in, or a whole development cell in one process.
package daemon
