package starter

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"

	"github.com/go-faster/jx"
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/command/printer"
	"foxtailflow.example/foxtailflow/internal/config/parser"
	"foxtailflow.example/foxtailflow/internal/operator/requester"
)

func configCommand(o *operatorFlags) *cobra.Command {
	cmd := &cobra.Command{
		Use:     "config",
		Short:   "Check, change and show the configuration",
		Example: "  foxtailflow config check configuration\n  foxtailflow config put configuration/accounts.ini",
	}
	nodeCommands := []*cobra.Command{putCommand(o), removeCommand(o), listCommand(o), showCommand(o)}
	for _, c := range nodeCommands {
		o.addNodeFlags(c)
	}
	cmd.AddCommand(newCheckCommand(o))
	cmd.AddCommand(nodeCommands...)
	return cmd
}

// configExtension is the file name extension of configuration files.
const configExtension = ".ini"

// readFolder reads the configuration files of a folder.
func readFolder(dir string) ([]parser.File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, coder.Refuse(coder.ConfigFileUnknown, "the folder cannot be read").WithCause(err)
	}
	var files []parser.File
	for _, e := range entries {
		if e.IsDir() || filepath.Ext(e.Name()) != configExtension {
			continue
		}
		data, err := os.ReadFile(filepath.Join(dir, e.Name()))
		if err != nil {
			return nil, coder.Refuse(coder.ConfigFileUnknown, "the file %s cannot be read", e.Name()).WithCause(err)
		}
		files = append(files, parser.File{Name: e.Name(), Data: data})
	}
	if len(files) == 0 {
		return nil, coder.Refuse(coder.ConfigFileUnknown, "the folder %s has no *.ini files", dir)
	}
	return files, nil
}

// seenFromNode is the value of --seen with which the command gets the version from
// the node.
const seenFromNode = -1

const seenHelp = "version at which the file was last seen (changed-at in config list), 0 for a new file; -1 gets it from the node"

func putCommand(o *operatorFlags) *cobra.Command {
	var seen int64
	cmd := &cobra.Command{
		Use:   "put FILE",
		Short: "Set a configuration file on all nodes",
		Long: "Set the configuration file with the base name of FILE on all nodes. The command\n" +
			"returns once the change is in force everywhere. If another operator has changed\n" +
			"the file after the version --seen, nothing is changed and the result is 306.\n" +
			"Result 307 means that the change is stored but not yet in force: do not retry\n" +
			"it. Result 311 means that the response was lost: check config list first.\n\n" + exitCodes,
		Example: "  foxtailflow config put configuration/accounts.ini\n  foxtailflow config put accounts.ini --seen 17",
		Args:    cobra.ExactArgs(1),
		RunE: o.withNode(func(cmd *cobra.Command, c requester.Client, args []string) (*printer.Result, error) {
			name := filepath.Base(args[0])
			if filepath.Ext(name) != configExtension {
				return nil, coder.Refuse(coder.ConfigSyntax, "file %s: the name of a configuration file must end in %s", name, configExtension)
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return nil, coder.Refuse(coder.ConfigFileUnknown, "the file cannot be read").WithCause(err)
			}
			version, err := seenVersion(cmd, c, name, seen)
			if err != nil {
				return nil, err
			}
			change, err := c.Put(cmd.Context(), name, data, version)
			return changeResult(change, "file "+name+" is set", err)
		}),
	}
	cmd.Flags().Int64Var(&seen, "seen", seenFromNode, seenHelp)
	return cmd
}

func removeCommand(o *operatorFlags) *cobra.Command {
	var seen int64
	cmd := &cobra.Command{
		Use:     "rm NAME",
		Short:   "Remove a configuration file from all nodes",
		Long:    "Remove a configuration file from all nodes; the results are those of config put.\n\n" + exitCodes,
		Example: "  foxtailflow config rm account-wettingen.ini",
		Args:    cobra.ExactArgs(1),
		RunE: o.withNode(func(cmd *cobra.Command, c requester.Client, args []string) (*printer.Result, error) {
			version, err := seenVersion(cmd, c, args[0], seen)
			if err != nil {
				return nil, err
			}
			if version == 0 {
				return nil, coder.Refuse(coder.ConfigFileUnknown, "there is no file %s", args[0])
			}
			change, err := c.Remove(cmd.Context(), args[0], version)
			return changeResult(change, "file "+args[0]+" is removed", err)
		}),
	}
	cmd.Flags().Int64Var(&seen, "seen", seenFromNode, seenHelp)
	return cmd
}

// seenVersion returns the version that the operator gave, or the current version of
// the file on the node.
func seenVersion(cmd *cobra.Command, c requester.Client, name string, given int64) (uint64, error) {
	if given >= 0 {
		return uint64(given), nil
	}
	if given != seenFromNode {
		return 0, coder.Refuse(coder.CommandUsage, "--seen must be a version or -1")
	}
	files, err := c.Files(cmd.Context())
	return files.ChangedAt(name), err
}

// changeResult returns the result of a change. A change that is not yet in force
// has both a result and an error.
func changeResult(c requester.Change, done string, err error) (*printer.Result, error) {
	if err != nil {
		return nil, err
	}
	r := &printer.Result{
		Text:   fmt.Sprintf("%s: version %d is in force", done, c.Version),
		Encode: func(e *jx.Encoder) { encodeChange(e, c) },
	}
	if c.InForce {
		return r, nil
	}
	r.Text = fmt.Sprintf("%s: version %d is stored but not yet in force", done, c.Version)
	return r, notInForce(c)
}

func notInForce(c requester.Change) error {
	return coder.New(coder.ConfigNotInForce, "version %d is stored but not yet confirmed to be in force on all nodes", c.Version)
}

func encodeChange(e *jx.Encoder, c requester.Change) {
	e.Field("version", func(e *jx.Encoder) { e.UInt64(c.Version) })
	e.Field("in-force", func(e *jx.Encoder) { e.Bool(c.InForce) })
}

func encodeStrings(e *jx.Encoder, items []string) {
	e.Arr(func(e *jx.Encoder) {
		for _, s := range items {
			e.Str(s)
		}
	})
}

func listCommand(o *operatorFlags) *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List the configuration files and when each was last changed",
		Long:    "List the configuration files and the version that last set each.\n\n" + exitCodes,
		Example: "  foxtailflow config list --output json",
		Args:    cobra.NoArgs,
		RunE: o.withNode(func(cmd *cobra.Command, c requester.Client, _ []string) (*printer.Result, error) {
			files, err := c.Files(cmd.Context())
			if err != nil {
				return nil, err
			}
			rows := [][]string{{"FILE", "CHANGED-AT"}}
			for _, f := range files.Files {
				rows = append(rows, []string{f.Name, strconv.FormatUint(f.ChangedAt, 10)})
			}
			return &printer.Result{Rows: rows, Encode: func(e *jx.Encoder) { encodeFiles(e, files) }}, nil
		}),
	}
}

func encodeFiles(e *jx.Encoder, files requester.Files) {
	e.Field("version", func(e *jx.Encoder) { e.UInt64(files.Version) })
	e.Field("files", func(e *jx.Encoder) {
		e.Arr(func(e *jx.Encoder) {
			for _, f := range files.Files {
				e.Obj(func(e *jx.Encoder) {
					e.Field("file", func(e *jx.Encoder) { e.Str(f.Name) })
					e.Field("changed-at", func(e *jx.Encoder) { e.UInt64(f.ChangedAt) })
				})
			}
		})
	})
}

func showCommand(o *operatorFlags) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "show",
		Short:   "Show each value in force and the file that it comes from",
		Long:    "Show each value in force with the file and line that it comes from, or the\ncontent of one file.\n\n" + exitCodes,
		Example: "  foxtailflow config show\n  foxtailflow config show --file accounts.ini > accounts.ini",
		Args:    cobra.NoArgs,
	}
	cmd.Flags().StringVar(&file, "file", "", "print this file as it is stored")
	merged := o.withNode(showMerged)
	stored := o.withNode(func(cmd *cobra.Command, c requester.Client, _ []string) (*printer.Result, error) {
		data, err := c.File(cmd.Context(), file)
		if err != nil {
			return nil, err
		}
		_, err = cmd.OutOrStdout().Write(data)
		return nil, err
	})
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if file != "" && o.json() {
			return errors.New("--file prints the stored file and cannot be combined with --output json")
		}
		if file != "" {
			return stored(cmd, args)
		}
		return merged(cmd, args)
	}
	return cmd
}

func showMerged(cmd *cobra.Command, c requester.Client, _ []string) (*printer.Result, error) {
	m, err := c.Merged(cmd.Context())
	if err != nil {
		return nil, err
	}
	rows := [][]string{shownColumns}
	for _, s := range m.Settings {
		rows = append(rows, []string{"[" + s.Section + "]", s.Key, s.Value, fmt.Sprintf("%s:%d", s.File, s.Line)})
	}
	return &printer.Result{Rows: rows, Encode: func(e *jx.Encoder) {
		e.Field("version", func(e *jx.Encoder) { e.UInt64(m.Version) })
		e.Field("settings", func(e *jx.Encoder) {
			e.Arr(func(e *jx.Encoder) {
				for _, s := range m.Settings {
					e.Obj(func(e *jx.Encoder) { encodeSetting(e, s) })
				}
			})
		})
	}}, nil
}

func encodeSetting(e *jx.Encoder, s requester.Setting) {
	e.Field("section", func(e *jx.Encoder) { e.Str(s.Section) })
	e.Field("key", func(e *jx.Encoder) { e.Str(s.Key) })
	e.Field("value", func(e *jx.Encoder) { e.Str(s.Value) })
	e.Field("file", func(e *jx.Encoder) { e.Str(s.File) })
	e.Field("line", func(e *jx.Encoder) { e.Int(s.Line) })
}
