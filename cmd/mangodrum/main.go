// Command mangodrum is the command line for operators of mangodrum.
package main

func main() {}
