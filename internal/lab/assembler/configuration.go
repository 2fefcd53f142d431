package assembler

import (
	"fmt"

	"foxtailflow.example/foxtailflow/internal/auth/authenticator"
)

// The deployments of the configuration.
const (
	ModelDeployment = "wichse-llm"
	PlainDeployment = "ladentisch"
)

// baseFile sorts before the file with additional settings.
const baseFile = "a-base.ini"

const baseText = `
[client-account "baden"]

[key "key-baden"]
client-account = baden
hash = %s

[deployment "wichse-llm"]
kind = model
model = wichse-llm

[route "recipes"]
kind = model
model = wichse-llm
deployment = wichse-llm
deadline = 10s

[deployment "ladentisch"]
kind = plain

[route "orders"]
kind = plain
path = /orders
deployment = ladentisch
deadline = 5s
`

// Configuration returns files that define a client account with a key of the
// given secret, a model route and a plain route; the additional text adds
// settings or overrides them.
func Configuration(secret, additional string) map[string]string {
	files := map[string]string{baseFile: fmt.Sprintf(baseText, authenticator.EncodedHash(secret))}
	if additional != "" {
		files["b-further.ini"] = additional
	}
	return files
}
