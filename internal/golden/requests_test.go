package golden_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"sableusher/internal/cloud"
	"sableusher/internal/kvstore"
	"sableusher/internal/wire"
)

// recorder is an HTTP transport that records each request and responds with status 404.
type recorder struct {
	out strings.Builder
}

// RoundTrip records a request. It implements http.RoundTripper.
func (r *recorder) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		var err error
		if body, err = io.ReadAll(request.Body); err != nil {
			return nil, err
		}
	}
	fmt.Fprintf(&r.out, "%s %s %q %x\n", request.Method, request.URL, request.Header.Get("Content-Type"), body)
	return &http.Response{StatusCode: http.StatusNotFound, Body: io.NopCloser(bytes.NewReader(nil))}, nil
}

// TestStoreRequests checks that requests to the key-value store keep their methods, paths and bodies.
func TestStoreRequests(t *testing.T) {
	var sent recorder
	client := kvstore.NewClient("store:2379", kvstore.Limits{
		RequestsPerSecond: 1e6, WritesPerSecond: 1e6, MaxValueKiB: 16, MaxTransactionOps: 32,
	}, &sent)
	ctx := t.Context()
	_, _ = client.Get(ctx, "s/j/run 1")
	_, _ = client.List(ctx, "s/", "")
	_, _ = client.List(ctx, "s/", "s/j/run-1")
	_, _ = client.Watch(ctx, kvstore.WatchRequest{Prefix: "s/", AfterRevision: 7, MaxWait: 1500 * time.Millisecond})
	_, _ = client.ExecuteTransaction(ctx, wire.TxnRequest{
		Conditions: []wire.Condition{{Key: "k", ModRevision: 3}}, Ops: []wire.Op{{DeleteKey: "k"}},
	}, kvstore.UrgentRequest)
	_, _ = client.GrantLease(ctx, 15*time.Second)
	_ = client.RenewLease(ctx, 9)
	_ = client.RevokeLease(ctx, 9)
	checkText(t, "store_requests.txt", sent.out.String())
}

// TestCloudRequests checks that requests to the cloud keep their methods, paths and bodies.
func TestCloudRequests(t *testing.T) {
	var sent recorder
	client := cloud.New(cloud.Options{
		Address: "cloud:8443", RequestsPerSecond: 1e6, NodeCount: 1, Transport: &sent,
	})
	ctx := t.Context()
	_, _ = client.Catalog(ctx)
	_, _ = client.Rent(ctx, wire.RentalRequest{Name: "r-1", MachineType: "g8", Zone: "east", Spot: true, Count: 2})
	_ = client.Delete(ctx, []string{"vm-1", "vm-2"})
	_, _ = client.List(ctx)
	checkText(t, "cloud_requests.txt", sent.out.String())
}
