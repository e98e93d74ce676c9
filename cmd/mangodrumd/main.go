// Command mangodrumd is the daemon of mangodrum.
package main

func main() {}
