package starter

import (
	"context"
	"net"
	"net/http"
	"strings"

	"github.com/sourcegraph/conc"
	"github.com/spf13/cobra"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/lab/configurer"
	"foxtailflow.example/foxtailflow/internal/lab/relayer"
)

const relayHelp = `Run TCP links that can be cut, delayed and restored by source address.

The settings have a section [relay] with listen, the control address, and
links, a list of LISTEN>TARGET pairs separated by commas. Connections to LISTEN
are passed on to TARGET.

  POST /lab/link?cut=true&from=127.0.0.3   hold back all bytes of this source
  POST /lab/link?reset=true&to=127.0.0.1:9 close connections to this target
  POST /lab/link?delay=50ms&from=127.0.0.3 delay data in each direction
  POST /lab/link?from=127.0.0.3            restore this source
  POST /lab/link                           restore everything
  GET /lab/record                          the rules in force`

func relayCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:     "relay",
		Short:   "Run TCP links that can be cut and delayed",
		Long:    relayHelp,
		Example: "  foxtailflow-lab relay --settings relay.ini",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f, err := configurer.Load(path, "relay")
			if err != nil {
				return err
			}
			control := f.Text("listen", "127.0.0.1:0")
			links, err := openLinks(f.Text("links", ""))
			if err != nil {
				return err
			}
			if err := f.Check(); err != nil {
				return err
			}
			return runRelay(cmd.Context(), control, links)
		},
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of the relay")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runRelay(ctx context.Context, control string, links []relayer.Link) error {
	ctx, cancel := context.WithCancel(ctx)
	r := &relayer.Relay{Clock: timekeeper.System{}}
	var wg conc.WaitGroup
	wg.Go(func() { r.Run(ctx, links) })
	err := serve(ctx, control, &http.Server{Handler: r.Handler(), ReadHeaderTimeout: connectionLimit})
	cancel()
	wg.Wait()
	return err
}

// openLinks listens for each LISTEN>TARGET pair.
func openLinks(text string) ([]relayer.Link, error) {
	var links []relayer.Link
	for pair := range strings.SplitSeq(text, ",") {
		listen, target, ok := strings.Cut(strings.TrimSpace(pair), ">")
		if !ok {
			return nil, coder.Refuse(coder.SettingsBad, "the link %q is not of the form LISTEN>TARGET", pair)
		}
		l, err := net.Listen("tcp", listen)
		if err != nil {
			return nil, coder.Refuse(coder.SettingsBad, "cannot listen at %s", listen).WithCause(err)
		}
		links = append(links, relayer.Link{Listener: l, Target: target})
	}
	return links, nil
}
