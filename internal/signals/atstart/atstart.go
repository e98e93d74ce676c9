// Package atstart lets a program receive its signals from its initialization on. Programs
// import it for this effect. It depends on little, so it is initialized before most other
// packages.
package atstart

import "github.com/mangodrum/mangodrum/internal/signals"

func init() { signals.Receive() }
