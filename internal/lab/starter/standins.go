package starter

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
	"foxtailflow.example/foxtailflow/internal/lab/configurer"
	"foxtailflow.example/foxtailflow/internal/lab/generator"
	"foxtailflow.example/foxtailflow/internal/lab/provider"
	"foxtailflow.example/foxtailflow/internal/lab/servicer"
	"foxtailflow.example/foxtailflow/internal/platform/encoder"
)

// serverBuilder builds the server of a stand-in from its settings.
type serverBuilder func(f *configurer.File) (*http.Server, error)

func standInCommands() []*cobra.Command {
	return []*cobra.Command{
		standInCommand("platform", "Run the platform stand-in", platformServer),
		standInCommand("engine", "Run a model engine stand-in", engineServer),
		standInCommand("service", "Run a plain service stand-in", serviceServer),
	}
}

func standInCommand(name, short string, build serverBuilder) *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     name,
		Short:   short,
		Example: "  foxtailflow-lab " + name + " --settings " + name + ".ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := configurer.Load(path, name)
			if err != nil {
				return err
			}
			listen := f.Text("listen", "127.0.0.1:0")
			server, err := build(f)
			if err != nil {
				return err
			}
			if err := f.Check(); err != nil {
				return err
			}
			return serve(cmd.Context(), listen, server)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of the stand-in")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// serve runs until ctx is done; it prints the address once it listens.
func serve(ctx context.Context, listen string, server *http.Server) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(os.Stdout, "listening at %s\n", l.Addr())
	var wg conc.WaitGroup
	wg.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	err = server.Serve(l)
	wg.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// connectionLimit is how long a server keeps a connection open on which no
// complete request header arrives, unless its settings have another value.
const connectionLimit = 5 * time.Second

func platformServer(f *configurer.File) (*http.Server, error) {
	m := &provider.Memory{
		Clock:           timekeeper.System{},
		VMRowLag:        f.Duration("list-lag", 0),
		RefuseStale:     f.Bool("refuse-stale", false),
		ReadsPerSecond:  f.Int("reads-per-second", 0),
		WritesPerSecond: f.Int("writes-per-second", 0),
		WeightsRate:     f.Int("weights-rate", 0),
		OrderDelay:      f.Duration("order-delay", 0),
		NoticePeriod:    f.Duration("notice", 2*time.Second),
	}
	vms, err := readVMs(f.Text("vms", ""))
	if err != nil {
		return nil, err
	}
	m.SetVMs(vms)
	if m.SpareVMs, err = readVMs(f.Text("spares", "")); err != nil {
		return nil, err
	}
	limit := f.Duration("connection-limit", connectionLimit)
	return &http.Server{Handler: provider.Server{Memory: m}.Handler(), ReadHeaderTimeout: limit}, nil
}

// readVMs reads a list of VMs from a JSON file; no path means no VMs.
func readVMs(path string) ([]supplier.VM, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return encoder.DecodeVMs(data)
}

func engineServer(f *configurer.File) (*http.Server, error) {
	e := generator.New(timekeeper.System{}, generator.Settings{
		Model:                f.Text("model", "model"),
		PrefillRate:          f.Int("prefill-rate", 8000),
		DecodeRate:           f.Int("decode-rate", 1500),
		Slots:                f.Int("slots", 16),
		Blocks:               f.Int("pieces", 1000),
		MinStepTime:          f.Duration("step-min", 0),
		BlockTransferTime:    f.Duration("piece-transfer", 0),
		ReportLag:            f.Duration("report-lag", 0),
		EventLag:             f.Duration("event-lag", 0),
		EventLoss:            f.Float("event-loss", 0),
		OrderTime:            f.Duration("role-change", 2*time.Second),
		CheckFencing:         f.Bool("check-fencing", true),
		OrderConnectionLimit: f.Duration("order-connection-limit", connectionLimit),
	})
	return e.Server(), nil
}

func serviceServer(_ *configurer.File) (*http.Server, error) {
	s := &servicer.Service{Clock: timekeeper.System{}}
	return &http.Server{Handler: s.Handler(), ReadHeaderTimeout: connectionLimit}, nil
}
