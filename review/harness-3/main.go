// Command harness runs one case of the review: it starts instances of the project as
// separate processes, with stand-ins for the platform's store, executors and clients, and
// checks a rule of RULES.md.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. With trouble false, a case does the same without its
// disruption.
var cases = map[string]func(c *recorder, trouble bool){
	"lost-executor": lostExecutor,
	"silent-peers":  silentPeers,
	"backlog":       backlog,
	"refused":       refused,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: harness CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if len(rec.broken) > 0 {
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
