package starter

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"github.com/spf13/cobra"
)

// TestCommands guards against examples that a node would refuse, and against
// exit codes and messages that scripts cannot rely on.
func TestCommands(t *testing.T) {
	t.Setenv(envCredential, "operator")
	datadriven.RunTest(t, "testdata/commands", func(t *testing.T, d *datadriven.TestData) string {
		var out, failure bytes.Buffer
		code := run(t.Context(), strings.Fields(d.Input), strings.NewReader(""), &out, &failure)
		return fmt.Sprintf("%s%sexit code %d\n", &out, &failure, code)
	})
}

// TestHelp guards against a command whose help has no example or no exit codes.
func TestHelp(t *testing.T) {
	var check func(cmd *cobra.Command)
	check = func(cmd *cobra.Command) {
		is := is.New(t)
		is.True(strings.Contains(cmd.Example, cmd.CommandPath())) // the example shows the command
		for _, line := range strings.Split(cmd.Example, "\n") {
			is.True(strings.HasPrefix(line, "  foxtailflow ")) // each line is a command
		}
		if cmd.RunE != nil {
			is.True(strings.Contains(cmd.Long, exitCodes))
		}
		for _, sub := range cmd.Commands() {
			check(sub)
		}
	}
	check(rootCommand(&operator{}))
}
