package definer_test

import (
	"fmt"
	"net/http"

	"foxtailflow.example/foxtailflow/internal/config/definer"
)

func Example() {
	c := definer.New(definer.Definitions{
		Accounts: []definer.Account{{Name: "baden", Share: 2}},
		Routes: []definer.Route{
			{Name: "orders", Kind: definer.Plain, Path: "/orders", IdempotentMethods: []string{http.MethodGet}},
			{Name: "returns", Kind: definer.Plain, Path: "/orders/returns", AllowedAccounts: []string{"baden"}},
		},
		Limits: definer.DefaultLimits(),
	})
	next := c.WithVersion(7)
	fmt.Println(c.Version(), next.Version())
	for _, path := range []string{"/orders/7", "/orders/returns/7", "/orders-old"} {
		r, ok := next.RouteByPath(path)
		fmt.Println(path, ok, r.Name, r.MayRetry(http.MethodPost), r.Allows("olten"))
	}
	// Output:
	// 0 7
	// /orders/7 true orders false true
	// /orders/returns/7 true returns false false
	// /orders-old false  false true
}
