// Command samphireflowd is the daemon of samphireflow.
package main

func main() {}
