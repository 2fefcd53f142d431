package starter

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/jx"
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/reserver"
	"foxtailflow.example/foxtailflow/internal/command/printer"
	"foxtailflow.example/foxtailflow/internal/config/checker"
	"foxtailflow.example/foxtailflow/internal/config/differ"
	"foxtailflow.example/foxtailflow/internal/config/merger"
	"foxtailflow.example/foxtailflow/internal/config/parser"
)

// The exit codes of config check, which differ from those of the other commands: a
// script that reviews a change has to tell warnings from errors, and every error of the
// check has the same consequence.
const (
	exitWarnings = 1
	exitErrors   = 2
)

const checkExitCodes = `Exit codes:
  0  valid; there may be warnings
  1  valid, with warnings, and --strict is given
  2  errors: of the configuration, the command line, or a file or node that
     cannot be read`

// checkCommand is the command config check with its flags.
type checkCommand struct {
	operator *operatorFlags
	strict   bool
	memoryMB int64
	grace    time.Duration
	against  string
}

func newCheckCommand(o *operatorFlags) *cobra.Command {
	c := &checkCommand{operator: o}
	cmd := &cobra.Command{
		Use:   "check DIR",
		Short: "Check a folder of configuration files, alone or against the version in force",
		Long: "Check the *.ini files of a folder as a node would merge them, in the order of\n" +
			"their names. Each error and each warning is printed with its code, file, line,\n" +
			"section and key. Warnings are entries that can never match and limits that\n" +
			"contradict each other; a node accepts them.\n\n" +
			"With --against or --node, the differences from that version are printed, and\n" +
			"their effects on traffic, which count as warnings. Without --node no node is\n" +
			"called. Instead of a folder, DIR and --against take the output of config show.\n\n" + checkExitCodes,
		Example: "  foxtailflow config check examples/baertschi\n" +
			"  foxtailflow config check examples/baertschi --strict --memory-mb 284 --grace 2m\n" +
			"  foxtailflow config check configuration --against in-force.json\n" +
			"  foxtailflow config check configuration --node 10.0.0.1:7002 --credential-file operator.key",
		Args: func(cmd *cobra.Command, args []string) error {
			return exitOnError(cobra.ExactArgs(1)(cmd, args))
		},
		RunE: func(cmd *cobra.Command, args []string) error { return c.run(cmd, args[0]) },
	}
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitOnError(err) })
	o.addNodeFlags(cmd)
	f := cmd.Flags()
	cmd.PersistentFlags().Lookup("node").Usage = "compare with the version in force on this node, IP:port; $" + envNode + " is not used"
	f.StringVar(&c.against, "against", "", "compare with this version: a folder, or the output of config show; with --node it must not be older than the node's")
	f.BoolVar(&c.strict, "strict", false, "end with exit code 1 if there are warnings")
	f.Int64Var(&c.memoryMB, "memory-mb", 0, "memory-mb of the nodes, to check the limits of bodies; 0 means that it is not known")
	f.DurationVar(&c.grace, "grace", 0, "time that a node has to stop, to check the drain; 0 means that it is not known")
	return cmd
}

// exitOnError returns an error that ends the command with exitErrors.
func exitOnError(err error) error {
	if err == nil {
		return nil
	}
	return exitError{cause: err, code: exitErrors}
}

// versionError returns the errors of a version to compare with, which would be taken for
// those of the checked one otherwise.
func versionError(name string, err error) error {
	heading := coder.Refuse(coder.ConfigBadValue, "%s, the version to compare with, has errors", name)
	return errors.Join(append([]error{heading}, printer.JoinedErrors(err)...)...)
}

func (c *checkCommand) run(cmd *cobra.Command, dir string) error {
	p, err := c.operator.printer(cmd)
	if err != nil {
		return exitOnError(err)
	}
	if c.memoryMB < 0 || c.grace < 0 {
		return exitOnError(coder.Refuse(coder.CommandUsage, "--memory-mb and --grace cannot be negative"))
	}
	report, err := c.check(cmd.Context(), dir)
	if report != nil {
		if printErr := p.Print(report.result()); printErr != nil {
			return exitOnError(printErr)
		}
	}
	switch {
	case err != nil:
		return exitOnError(err)
	case c.strict && len(report.warnings)+len(report.comparison.Effects) > 0:
		return exitError{code: exitWarnings}
	}
	return nil
}

// check returns what is found in a version. Errors of the configuration come with a
// report, others without.
func (c *checkCommand) check(ctx context.Context, dir string) (*checkReport, error) {
	merged, files, err := readVersion(dir)
	if err != nil {
		if files == 0 {
			return nil, err
		}
		return &checkReport{files: files, errors: printer.JoinedErrors(err)}, err
	}
	report := &checkReport{files: files, settings: len(merged.Settings)}
	if c.against != "" || c.operator.node != "" {
		inForce, err := c.inForce(ctx)
		if err != nil {
			return nil, err
		}
		if merged, err = differ.WithStoredKeys(merged, inForce); err != nil {
			return &checkReport{files: files, errors: printer.JoinedErrors(err)}, err
		}
		if report.comparison, err = differ.Compare(inForce, merged); err != nil {
			return nil, err
		}
		report.against = &inForce
	}
	report.warnings = checker.Check(merged.Config, merged.Positions, c.bounds())
	return report, nil
}

// inForce returns the version to compare with: the saved one if there is one, which must
// not be older than the one of the node, else that of the node.
func (c *checkCommand) inForce(ctx context.Context) (merger.Result, error) {
	var saved, current merger.Result
	var err error
	if c.against != "" {
		var files int
		if saved, files, err = readVersion(c.against); err != nil && files > 0 {
			err = versionError(c.against, err)
		}
		if err != nil || c.operator.node == "" {
			return saved, err
		}
	}
	client, err := c.operator.client()
	if err != nil {
		return current, err
	}
	if current, err = readFromNode(ctx, client); err != nil || c.against == "" {
		return current, err
	}
	switch known, latest := saved.Config.Version(), current.Config.Version(); {
	case known == 0:
		return saved, coder.Refuse(coder.CommandUsage, "the version of %s is not known, so it cannot be compared with that of the node; save it with config show --output json", c.against)
	case known < latest:
		return saved, coder.Refuse(coder.ConfigConflict, "%s is version %d, and version %d is in force", c.against, known, latest)
	}
	return saved, nil
}

func (c *checkCommand) bounds() checker.Bounds {
	return checker.Bounds{LargestBody: reserver.LargestBody(c.memoryMB << 20), Grace: c.grace}
}

// checkReport is what a check has found. With errors there are no warnings.
type checkReport struct {
	files, settings int
	errors          []error
	warnings        []parser.Fault
	// against is the version that was compared with, or nil.
	against    *merger.Result
	comparison differ.Report
}

// result returns the report in both forms. Errors are in the JSON form only: as text,
// they are printed when the command fails.
func (r *checkReport) result() printer.Result {
	if len(r.errors) > 0 {
		return printer.Result{Encode: r.encode}
	}
	return printer.Result{Rows: r.rows(), Text: r.text(), Encode: r.encode}
}

// rows returns the differences.
func (r *checkReport) rows() [][]string {
	if len(r.comparison.Differences) == 0 {
		return nil
	}
	rows := [][]string{{"CHANGE", "SECTION", "KEY", "IN-FORCE", "NEW", "FROM"}}
	for _, d := range r.comparison.Differences {
		s := d.Setting()
		rows = append(rows, []string{string(d.Kind), "[" + s.Section.String() + "]", s.Key, d.Old.Value, d.New.Value, fmt.Sprintf("%s:%d", s.File, s.Line)})
	}
	return rows
}

func (r *checkReport) text() string {
	var lines []string
	for _, w := range r.warnings {
		lines = append(lines, "warning: "+w.Error())
	}
	for _, f := range r.comparison.Effects {
		lines = append(lines, "effect: "+f.Error())
	}
	summary := fmt.Sprintf("%d files with %d settings are valid", r.files, r.settings)
	if n := len(r.warnings); n > 0 {
		summary += fmt.Sprintf("; warnings: %d", n)
	}
	if r.against != nil {
		summary += fmt.Sprintf("; differences from %s: %d, effects on traffic: %d", versionName(r.against), len(r.comparison.Differences), len(r.comparison.Effects))
	}
	return strings.Join(append(lines, summary), "\n")
}

func versionName(m *merger.Result) string {
	if v := m.Config.Version(); v > 0 {
		return fmt.Sprintf("version %d", v)
	}
	return "the given version"
}

func (r *checkReport) encode(e *jx.Encoder) {
	e.Field("valid", func(e *jx.Encoder) { e.Bool(len(r.errors) == 0) })
	e.Field("files", func(e *jx.Encoder) { e.Int(r.files) })
	e.Field("settings", func(e *jx.Encoder) { e.Int(r.settings) })
	e.Field("errors", func(e *jx.Encoder) { encodeEach(e, r.errors, printer.EncodeError) })
	e.Field("warnings", func(e *jx.Encoder) { encodeEach(e, r.warnings, printer.EncodeFault) })
	if r.against == nil {
		return
	}
	e.Field("against-version", func(e *jx.Encoder) { e.UInt64(r.against.Config.Version()) })
	e.Field("differences", func(e *jx.Encoder) { encodeEach(e, r.comparison.Differences, encodeDifference) })
	e.Field("effects", func(e *jx.Encoder) { encodeEach(e, r.comparison.Effects, printer.EncodeFault) })
}

// encodeDifference writes a difference; a value that does not exist is missing.
func encodeDifference(e *jx.Encoder, d differ.Difference) {
	e.Field("change", func(e *jx.Encoder) { e.Str(string(d.Kind)) })
	printer.EncodePosition(e, d.Setting())
	if d.Kind != differ.Added {
		e.Field("in-force", func(e *jx.Encoder) { e.Str(d.Old.Value) })
	}
	if d.Kind != differ.Removed {
		e.Field("new", func(e *jx.Encoder) { e.Str(d.New.Value) })
	}
}

// encodeEach writes an array of objects.
func encodeEach[V any](e *jx.Encoder, vs []V, encode func(*jx.Encoder, V)) {
	e.Arr(func(e *jx.Encoder) {
		for _, v := range vs {
			e.Obj(func(e *jx.Encoder) { encode(e, v) })
		}
	})
}
