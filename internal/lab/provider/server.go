package provider

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/base/coder"
	"foxtailflow.example/foxtailflow/internal/config/definer"
	"foxtailflow.example/foxtailflow/internal/platform/encoder"
	"foxtailflow.example/foxtailflow/internal/store/transactor"
	"foxtailflow.example/foxtailflow/internal/usage/biller"
)

// Server serves a Memory over HTTP.
type Server struct {
	Memory *Memory
}

// maxRequest bounds the body of one request, in bytes.
const maxRequest = 16 << 20

// Handler returns the platform's HTTP interface and the controls of the stand-in.
func (s Server) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/table/commit", s.commit)
	r.GET("/table/row", s.row)
	r.GET("/table/rows", s.rows)
	r.GET("/table/changes", s.changes)
	r.POST("/endpoints/orders", s.order)
	r.GET("/endpoints/orders/:id", s.ordered)
	r.POST("/usage/reports", s.report)
	r.GET("/weights/:name", s.weights)
	r.POST("/lab/faults", s.setFaults)
	r.POST("/lab/vms", s.setVMs)
	r.GET("/lab/vms", s.listVMs)
	r.POST("/lab/reclaim", s.reclaim)
	r.GET("/lab/record", s.record)
	r.GET("/lab/counts", s.counts)
	return r
}

func respond(w http.ResponseWriter, data []byte, err error) {
	if err != nil {
		respondError(w, err)
		return
	}
	_, _ = w.Write(data)
}

func respondError(w http.ResponseWriter, err error) {
	f := coder.FromError(err)
	if f.Code() == coder.PlatformUnsure {
		// A closed connection is what a caller sees of a lost response.
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(encoder.Status(f))
	_, _ = w.Write(encoder.EncodeFailure(f))
}

func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, maxRequest))
}

func (s Server) commit(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(r)
	if err != nil {
		return
	}
	tx, err := encoder.DecodeTx(data)
	if err != nil {
		respondError(w, err)
		return
	}
	version, err := s.Memory.Commit(r.Context(), tx)
	respond(w, encoder.EncodeVersion(version.Number()), err)
}

func (s Server) row(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	row, err := s.Memory.Get(r.Context(), r.URL.Query().Get("key"))
	respond(w, encoder.EncodeRows([]transactor.Row{row}), err)
}

func (s Server) rows(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	rows, err := s.Memory.Scan(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	respond(w, encoder.EncodeRows(rows), err)
}

// changes responds with all rows of a prefix, or with the changes after a
// version if the query has one.
func (s Server) changes(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	prefix := q.Get("prefix")
	if !q.Has("after") {
		c, err := s.Memory.Read(r.Context(), prefix)
		respond(w, encoder.EncodeChanges(c), err)
		return
	}
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		respondError(w, coder.Refuse(coder.PlatformRefused, "malformed version in query value after"))
		return
	}
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil {
		respondError(w, coder.Refuse(coder.PlatformRefused, "malformed duration in query value wait"))
		return
	}
	c, err := s.Memory.Watch(r.Context(), prefix, transactor.NewVersion(0, after), wait)
	respond(w, encoder.EncodeChanges(c), err)
}

func (s Server) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(r)
	if err != nil {
		return
	}
	o, err := encoder.DecodeOrder(data)
	if err != nil {
		respondError(w, err)
		return
	}
	respond(w, nil, s.Memory.Order(r.Context(), o))
}

func (s Server) ordered(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	ok, err := s.Memory.Received(r.Context(), ps.ByName("id"))
	respondExists(w, ok, err)
}

func respondExists(w http.ResponseWriter, ok bool, err error) {
	if err == nil && !ok {
		err = coder.Refuse(coder.RowUnknown, "order not received")
	}
	respond(w, nil, err)
}

func (s Server) report(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(r)
	if err != nil {
		return
	}
	u, err := biller.DecodeReport(data)
	if err != nil {
		respondError(w, err)
		return
	}
	respond(w, nil, s.Memory.Report(r.Context(), u))
}

func (s Server) weights(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	n, err := s.Memory.Fetch(r.Context(), ps.ByName("name"))
	respond(w, strconv.AppendInt(nil, n, 10), err)
}

// setFaults sets the faults given as query values and clears all others.
func (s Server) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	f, err := parseFaults(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Memory.SetFaults(f)
}

func parseFaults(q url.Values) (f Faults, err error) {
	for name := range q {
		v := q.Get(name)
		switch name {
		case "delay":
			f.Delay, err = time.ParseDuration(v)
		case "table-down":
			f.TableDown, err = strconv.ParseBool(v)
		case "fleet-down":
			f.FleetDown, err = strconv.ParseBool(v)
		case "lose-answers":
			f.LoseResponses, err = strconv.ParseFloat(v, 64)
		case "lose-requests":
			f.LoseRequests, err = strconv.ParseFloat(v, 64)
		case "unavailable":
			f.Unavailable = strings.Split(v, ",")
		case "weights-delay":
			f.WeightsDelay, err = time.ParseDuration(v)
		case "reads-per-second":
			f.ReadsPerSecond, err = strconv.Atoi(v)
		case "writes-per-second":
			f.WritesPerSecond, err = strconv.Atoi(v)
		default:
			err = fmt.Errorf("unknown fault %q", name)
		}
		if err != nil {
			return f, err
		}
	}
	return f, nil
}

func (s Server) setVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := readBody(r)
	if err != nil {
		return
	}
	vms, err := encoder.DecodeVMs(data)
	if err != nil {
		respondError(w, err)
		return
	}
	s.Memory.SetVMs(vms)
}

// listVMs responds with a line for each VM in the table.
func (s Server) listVMs(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	rows, err := s.Memory.Scan(r.Context(), VMPrefix, "", 0)
	if err != nil {
		respondError(w, err)
		return
	}
	for _, row := range rows {
		v, err := encoder.DecodeVM(row.Value)
		if err != nil {
			respondError(w, err)
			return
		}
		_, _ = fmt.Fprintf(w, "vm id=%s state=%s\n", v.ID, v.State)
	}
}

// reclaim withdraws the VMs of the query values tier and data-centre.
func (s Server) reclaim(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	n := s.Memory.Reclaim(definer.Tier(q.Get("tier")), q.Get("data-centre"))
	_, _ = fmt.Fprintf(w, "reclaimed=%d\n", n)
}

func (s Server) record(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	for _, line := range s.Memory.Record() {
		_, _ = fmt.Fprintln(w, line)
	}
}

func (s Server) counts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reads, writes := s.Memory.Counts()
	_, _ = fmt.Fprintf(w, "reads=%d writes=%d\n", reads, writes)
}
