package observer_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"foxtailflow.example/foxtailflow/internal/base/timekeeper"
	"foxtailflow.example/foxtailflow/internal/decision/picker"
	"foxtailflow.example/foxtailflow/internal/engine/controller"
	"foxtailflow.example/foxtailflow/internal/fleet/observer"
	"foxtailflow.example/foxtailflow/internal/fleet/supplier"
)

// unreachable is a transport on which every endpoint but the named one responds.
type unreachable string

func (s unreachable) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Host == string(s) {
		return nil, errors.New("no response")
	}
	body := io.NopCloser(bytes.NewReader(controller.EncodeLoad(controller.Load{Role: "both", FreeBlocks: 10})))
	return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
}

// vmList is a list of VMs that can be unavailable.
type vmList struct {
	vms  []supplier.VM
	down bool
}

// List returns the VMs.
func (l *vmList) List(context.Context) ([]supplier.VM, time.Duration, error) {
	if l.down {
		return nil, 0, errors.New("list unavailable")
	}
	return l.vms, 0, nil
}

// TestStaleList guards against new requests to an endpoint that has stopped while
// the platform's list is too old to show it, and against the removal of endpoints
// that still report.
func TestStaleList(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	clock := timekeeper.NewFake(time.Unix(1000, 0))
	m := &vmList{vms: []supplier.VM{
		{ID: "e1", Address: "e1", Deployment: "d", State: supplier.Live},
		{ID: "e2", Address: "e2", Deployment: "d", State: supplier.Live},
	}}
	o := &observer.Observer{Clock: clock, Log: zerolog.Nop(), VMs: m, Engines: controller.Client{Transport: unreachable("e2")}}
	chosen := func() map[string]bool {
		ids := make(map[string]bool)
		for i := range uint64(64) {
			n := picker.Requirements{Random: i, Now: clock.Now()}
			if c := (picker.Picker[picker.TwoChoices]{}).Pick(n, o.View("d")); c.OK {
				ids[c.Endpoint.ID] = true
			}
		}
		return ids
	}
	is.NoErr(o.RefreshList(ctx))
	is.NoErr(o.RefreshLoad(ctx))
	is.True(chosen()["e2"]) // a current list has it
	m.down = true
	for range 11 {
		clock.Advance(time.Second)
		is.True(o.RefreshList(ctx) != nil)
		is.NoErr(o.RefreshLoad(ctx))
	}
	is.True(chosen()["e1"])  // has a recent report
	is.True(!chosen()["e2"]) // has neither a recent list nor a recent report
	m.down = false
	is.NoErr(o.RefreshList(ctx))
	is.NoErr(o.RefreshLoad(ctx))
	is.True(chosen()["e2"]) // a current list has it again
}
