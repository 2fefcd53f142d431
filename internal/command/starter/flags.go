package starter

import (
	"bytes"
	"os"
	"time"

	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/command/printer"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
)

// The forms of the output.
const (
	outputText = "text"
	outputJSON = "json"
)

// The environment variables that are used where the flags are not set.
const (
	envNode       = "FOXTAILFLOW_NODE"
	envCredential = "FOXTAILFLOW_CREDENTIAL"
)

// operatorFlags are the flags that the operators' commands share.
type operatorFlags struct {
	output         string
	node           string
	credentialFile string
	timeout        time.Duration
}

func (o *operatorFlags) json() bool { return o.output == outputJSON }

// addNodeFlags adds the flags with which a command reaches a node.
func (o *operatorFlags) addNodeFlags(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&o.node, "node", "", "operators' address of any node, IP:port; default $"+envNode)
	f.StringVar(&o.credentialFile, "credential-file", "", "file with the operators' credential; default $"+envCredential+" holds the credential itself")
	f.DurationVar(&o.timeout, "timeout", 20*time.Second, "time limit of each call")
}

// client returns a client for the node that the flags or the environment select.
func (o *operatorFlags) client() (requester.Client, error) {
	c := requester.Client{Address: o.node, Credential: os.Getenv(envCredential), Timeout: o.timeout}
	if c.Address == "" {
		c.Address = os.Getenv(envNode)
	}
	if c.Address == "" {
		return c, coder.Refuse(coder.CommandUsage, "no node is given: set --node or %s", envNode)
	}
	if o.credentialFile != "" {
		data, err := os.ReadFile(o.credentialFile)
		if err != nil {
			return c, coder.Refuse(coder.CommandUsage, "the credential file cannot be read").WithCause(err)
		}
		c.Credential = string(bytes.TrimSpace(data))
	}
	if c.Credential == "" {
		return c, coder.Refuse(coder.CommandUsage, "no credential is given: set --credential-file or %s", envCredential)
	}
	return c, nil
}

func (o *operatorFlags) printer(cmd *cobra.Command) (printer.Printer, error) {
	if o.output != outputText && o.output != outputJSON {
		return printer.Printer{}, coder.Refuse(coder.CommandUsage, "--output is %s or %s, not %q", outputText, outputJSON, o.output)
	}
	return printer.Printer{Out: cmd.OutOrStdout(), JSON: o.json()}, nil
}

// nodeAction calls a node and returns the result to print. If it returns both a
// result and an error, both are printed.
type nodeAction func(cmd *cobra.Command, c requester.Client, args []string) (*printer.Result, error)

// withNode returns a command function that runs an action with a client for the
// selected node and prints the result.
func (o *operatorFlags) withNode(a nodeAction) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		p, err := o.printer(cmd)
		if err != nil {
			return err
		}
		c, err := o.client()
		if err != nil {
			return err
		}
		result, err := a(cmd, c, args)
		if result != nil {
			if printErr := p.Print(*result); printErr != nil {
				return coder.Wrap(coder.Internal, printErr, "the result cannot be printed")
			}
		}
		return err
	}
}
