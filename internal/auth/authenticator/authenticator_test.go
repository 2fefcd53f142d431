package authenticator_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
)

// TestCredentials guards against callers that are refused for how they write the name of
// the scheme, and against credentials without a scheme.
func TestCredentials(t *testing.T) {
	hash := authenticator.HashSecret("s1")
	cfg := definer.New(definer.Definitions{
		Accounts: []definer.Account{{Name: "baden"}},
		Keys:     []definer.Key{{ID: "key-1", Account: "baden", Hash: hash}},
	})
	datadriven.RunTest(t, "testdata/credentials", func(_ *testing.T, d *datadriven.TestData) string {
		caller, err := authenticator.Identify(cfg, d.Input)
		operator := authenticator.CheckOperator(hash, d.Input)
		return fmt.Sprintf("caller %q %d, operator %d\n", caller.KeyID, code(err), code(operator))
	})
}

func code(err error) coder.Code {
	if err == nil {
		return 0
	}
	return coder.FromError(err).Code()
}
