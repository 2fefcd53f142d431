// Command foxtailflow is the serving system: the node that runs on every VM, and
// the operators' commands.
package main

import (
	"os"

	"foxtailflow.example/foxtailflow/internal/command/starter"
	"foxtailflow.example/foxtailflow/platform"
)

func main() {
	os.Exit(starter.Main(platform.Command()))
}
