// Command foxtailflow-lab runs the stand-ins for the platform, the engines and the
// services, the experiments, and the demonstration.
package main

import (
	"os"

	"foxtailflow.example/foxtailflow/internal/lab/starter"
)

func main() {
	os.Exit(starter.Main())
}
