// Command mangodrumd is the mangodrum daemon.
package main

import (
	"os"

	"github.com/mangodrum/mangodrum/internal/daemon"
	_ "github.com/mangodrum/mangodrum/internal/signals/atstart" // a signal before main must not end the process
)

func main() { os.Exit(daemon.Main(os.Args, os.Stdout, os.Stderr)) }
