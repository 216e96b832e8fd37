// Command mangoloft is the entry instance and the tool to look into one.
package main

func main() {}
