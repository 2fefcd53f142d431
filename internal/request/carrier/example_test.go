package carrier_test

import (
	"fmt"
	"slices"

	"foxtailflow.example/foxtailflow/internal/decision/indexer"
	"foxtailflow.example/foxtailflow/internal/request/carrier"
)

func ExampleRequest_CrashParts() {
	named := carrier.Request{PromptParts: []indexer.Segment{{Name: "5c1e07a2"}, {Name: "e4402b7d"}}}
	fmt.Println(named.CrashParts())
	plain := carrier.Request{ID: "1", Method: "POST", Target: "/orders/7", Body: carrier.BytesBody([]byte("{}"))}
	again := plain
	again.ID = "2"
	fmt.Println(plain.CrashParts(), slices.Equal(plain.CrashParts(), again.CrashParts()))
	// Output:
	// [5c1e07a2 e4402b7d request-f371d32e551f86ab]
	// [request-dad97c970d5357dd] true
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
