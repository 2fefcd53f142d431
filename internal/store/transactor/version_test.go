package transactor_test

import (
	"fmt"

	"foxtailflow.example/foxtailflow/internal/store/transactor"
)

// A store that comes back from an older copy gives numbers out again in a new era.
func ExampleVersion() {
	lost := transactor.NewVersion(1, 125)
	restored := transactor.NewVersion(2, 80)
	fmt.Println(restored, restored > lost, restored.Era(), restored.Number())
	// Output: 2/80 true 2 80
}
