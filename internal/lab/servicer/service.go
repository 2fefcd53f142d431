// Package servicer is a stand-in for a plain service.
//
// POST /orders places an order and is not idempotent; GET /stock returns the
// stock of an item; POST /echo streams its body back. The service records each
// run with the identifier of the request, and counts the runs of each order by
// its body, so that a test can check what ran twice.
package servicer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
)

// Service is a stand-in for a plain service.
type Service struct {
	Clock timekeeper.Clock

	mu       sync.Mutex
	runs     map[string]int
	record   []string
	inFlight int
	faults   Faults
}

// Faults are the failures that the service currently simulates.
type Faults struct {
	// Delay is added before each response, after the run was counted.
	Delay time.Duration
	// LoseResponses closes the connection after the run was counted.
	LoseResponses bool
	// Leaving is the service's signal that it will stop soon.
	Leaving bool
}

// maxRequest bounds the body of one request, in bytes.
const maxRequest = 16 << 20

// SetFaults replaces the simulated failures.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the number of times that the order with this body ran.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// Handler returns the service's HTTP interface and the controls of the stand-in.
func (s *Service) Handler() http.Handler {
	r := httprouter.New()
	r.POST("/orders", s.placeOrder)
	r.GET("/stock/:item", s.lookUp)
	r.POST("/echo", s.echo)
	r.GET("/engine/load", s.load)
	r.POST("/lab/faults", s.setFaults)
	r.GET("/lab/record", s.showRecord)
	r.GET("/lab/runs", s.showRuns)
	return r
}

func (s *Service) placeOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequest))
	if err != nil {
		return
	}
	s.serve(w, r, func() string {
		if s.runs == nil {
			s.runs = make(map[string]int)
		}
		s.runs[string(body)]++
		return fmt.Sprintf("placed %s\n", body)
	})
}

func (s *Service) lookUp(w http.ResponseWriter, r *http.Request, ps httprouter.Params) {
	s.serve(w, r, func() string { return fmt.Sprintf("%s: 7 crates\n", ps.ByName("item")) })
}

// serve counts the run, then responds as the faults allow.
func (s *Service) serve(w http.ResponseWriter, r *http.Request, run func() string) {
	id := r.Header.Get("Foxtailflow-Request-Id")
	s.mu.Lock()
	s.inFlight++
	s.record = append(s.record, fmt.Sprintf("run id=%s method=%s path=%s authorization=%t", id, r.Method, r.URL.Path, r.Header.Get("Authorization") != ""))
	body := run()
	f := s.faults
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.inFlight--
		s.mu.Unlock()
	}()
	if s.Clock.Sleep(r.Context(), f.Delay) != nil || f.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Foxtailflow-Request-Id", id)
	_, _ = io.WriteString(w, body)
}

const bufferSize = 32 << 10

// echo sends each chunk of the body back as it arrives, so that a caller can
// read the start of the response before it has sent the end of the body.
func (s *Service) echo(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	id := r.Header.Get("Foxtailflow-Request-Id")
	s.mu.Lock()
	s.record = append(s.record, fmt.Sprintf("run id=%s method=%s path=%s authorization=%t", id, r.Method, r.URL.Path, r.Header.Get("Authorization") != ""))
	s.mu.Unlock()
	w.Header().Set("Foxtailflow-Request-Id", id)
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	buf := make([]byte, bufferSize)
	for {
		n, err := r.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return
			}
			_ = control.Flush()
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	l := controller.Load{InFlight: s.inFlight, Role: "both", Leaving: s.faults.Leaving}
	s.mu.Unlock()
	_, _ = w.Write(controller.EncodeLoad(l))
}

func (s *Service) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	q := r.URL.Query()
	var f Faults
	f.Delay, _ = time.ParseDuration(q.Get("delay"))
	f.LoseResponses, _ = strconv.ParseBool(q.Get("lose-answers"))
	f.Leaving, _ = strconv.ParseBool(q.Get("leaving"))
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) showRecord(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, line := range s.record {
		_, _ = fmt.Fprintln(w, line)
	}
}

// showRuns lists each order and the number of times that it ran.
func (s *Service) showRuns(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	orders := make([]string, 0, len(s.runs))
	for body := range s.runs {
		orders = append(orders, body)
	}
	sort.Strings(orders)
	for _, body := range orders {
		_, _ = fmt.Fprintf(w, "%d %s\n", s.runs[body], body)
	}
}
