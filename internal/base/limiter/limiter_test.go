package limiter_test

import (
	"fmt"
	"strings"

	"foxtailflow.example/foxtailflow/internal/base/limiter"
)

// A body within the limit is returned; a longer one is an error and not cut.
func ExampleReadAll() {
	data, err := limiter.ReadAll(strings.NewReader("four"), 4)
	fmt.Println(string(data), err)
	data, err = limiter.ReadAll(strings.NewReader("longer"), 4)
	fmt.Println(string(data), err)
	// Output:
	// four <nil>
	//  502: the peer has sent more than 4 bytes without an end of the head or body
}
