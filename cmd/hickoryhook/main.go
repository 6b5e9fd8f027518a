// Command hickoryhook is a layer-4 load balancer.
package main

import (
	"os"

	"hickoryhook.example/internal/verb"
)

func main() {
	os.Exit(verb.Main(os.Args[1:], os.Stdout, os.Stderr))
}
