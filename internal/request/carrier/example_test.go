package carrier_test

import (
	"fmt"

	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

func ExampleRequest_CrashParts() {
	named := carrier.Request{PromptParts: []indexer.Segment{{Name: "5c1e07a2"}, {Name: "e4402b7d"}}}
	fmt.Println(named.CrashParts())
	// Output: [5c1e07a2 e4402b7d]
}

func ExampleRequest_SharedParts() {
	named := carrier.Request{PromptParts: []indexer.Segment{{Name: "5c1e07a2"}, {Name: "91bd3f06"}, {Name: "e4402b7d"}}}
	fmt.Println(named.SharedParts(), named.OwnPart())
	text := carrier.Request{Prompt: make([]byte, 1200)}
	fmt.Println(len(text.SharedParts()), "hashes: two prefixes and the whole prompt")
	// Output:
	// [5c1e07a2 91bd3f06] e4402b7d
	// 3 hashes: two prefixes and the whole prompt
}
