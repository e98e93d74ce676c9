// Command mangodrumd is the mangodrum daemon.
package main

import (
	"os"

	"github.com/mangodrum/mangodrum/internal/daemon"
)

func main() { os.Exit(daemon.Main(os.Args, os.Stdout, os.Stderr)) }
