// Ragwort-bench puts load on a fleet and reports what callers got.
package main

func main() {}
