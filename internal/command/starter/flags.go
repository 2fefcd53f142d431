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

// The environment that stands in for flags.
const (
	envNode       = "FOXTAILFLOW_NODE"
	envCredential = "FOXTAILFLOW_CREDENTIAL"
)

// operator holds the flags that the operators' commands share.
type operator struct {
	output         string
	node           string
	credentialFile string
	timeout        time.Duration
}

func (o *operator) json() bool { return o.output == outputJSON }

// reach adds the flags by which a command finds a node.
func (o *operator) reach(cmd *cobra.Command) {
	f := cmd.PersistentFlags()
	f.StringVar(&o.node, "node", "", "operators' address of any node, IP:port; default $"+envNode)
	f.StringVar(&o.credentialFile, "credential-file", "", "file with the operators' credential; default $"+envCredential+" holds the credential itself")
	f.DurationVar(&o.timeout, "timeout", 20*time.Second, "bound on each call")
}

// client returns the client of the node that the flags or environment name.
func (o *operator) client() (requester.Client, error) {
	c := requester.Client{Node: o.node, Credential: os.Getenv(envCredential), Timeout: o.timeout}
	if c.Node == "" {
		c.Node = os.Getenv(envNode)
	}
	if c.Node == "" {
		return c, coder.Refuse(coder.CommandUsage, "no node is named: set --node or %s", envNode)
	}
	if o.credentialFile != "" {
		data, err := os.ReadFile(o.credentialFile)
		if err != nil {
			return c, coder.Refuse(coder.CommandUsage, "the credential cannot be read").WithCause(err)
		}
		c.Credential = string(bytes.TrimSpace(data))
	}
	if c.Credential == "" {
		return c, coder.Refuse(coder.CommandUsage, "no credential is given: set --credential-file or %s", envCredential)
	}
	return c, nil
}

func (o *operator) printer(cmd *cobra.Command) (printer.Printer, error) {
	if o.output != outputText && o.output != outputJSON {
		return printer.Printer{}, coder.Refuse(coder.CommandUsage, "--output is %s or %s, not %q", outputText, outputJSON, o.output)
	}
	return printer.Printer{Out: cmd.OutOrStdout(), JSON: o.json()}, nil
}

// action asks a node and returns what to print; a result may come with an
// error, and then both are shown.
type action func(cmd *cobra.Command, c requester.Client, args []string) (*printer.Result, error)

// asking runs an action against the node that the flags name.
func (o *operator) asking(a action) func(*cobra.Command, []string) error {
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
