package ingress

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	apiv1 "samphireflow/api/v1"
	"samphireflow/internal/calls"
	"samphireflow/internal/customer"
	"samphireflow/internal/routing"
	"samphireflow/internal/tree"
)

// requireKeys makes the fixture ask for keys: court holds "k1" and outranks the routes, and lookups are public if public is
// set.
func (f *fixture) requireKeys(public bool) {
	snap := f.ingress.options.Table().Snapshot
	snap.Settings = append(snap.Settings, &apiv1.Setting{Key: tree.KeyCallerAuthenticated, Value: "true"})
	snap.Customers = []*apiv1.CustomerConfig{{Name: "court", Settings: []*apiv1.Setting{
		{Key: tree.KeyCustomerKeyDigests, Value: customer.DigestOf("k1").String()}, {Key: tree.KeyCustomerPriority, Value: "0"},
	}}}
	if public {
		snap.Routes[0].Settings = append(snap.Routes[0].Settings, &apiv1.Setting{Key: tree.KeyRoutePublic, Value: "true"})
	}
	f.rebuild()
}

// rebuild builds the routing table again, after a change of its snapshot.
func (f *fixture) rebuild() {
	snap := f.ingress.options.Table().Snapshot
	var servers []*apiv1.BackendServer
	for _, server := range f.ingress.options.Table().Service("rota").Ready {
		servers = append(servers, server.Info)
	}
	table := routing.Build(snap, servers, routing.NewRegistry())
	f.ingress.options.Table = func() *routing.Table { return table }
}

// TestKeysAreCheckedAndReplaced lists the keys of requests with the expected status and customer. No key and no name that a
// caller made up reaches a backend server.
func TestKeysAreCheckedAndReplaced(t *testing.T) {
	for _, c := range []struct {
		name, authorization string
		public              bool
		status              int
		customer            string
	}{
		{"a customer's key", "Bearer k1", false, 200, "court"},
		{"scheme in lower case", "bearer k1", false, 200, "court"},
		{"unknown key", "Bearer k2", false, 401, ""},
		{"other scheme", "Basic k1", false, 401, ""},
		{"no key", "", false, 401, ""},
		{"no key on a public route", "", true, 200, ""},
		{"unknown key on a public route", "Bearer k2", true, 200, ""},
		{"a customer's key on a public route", "Bearer k1", true, 200, "court"},
	} {
		var got *calls.Call
		f := newFixture(t, func(call *calls.Call, _ string, _ time.Time) *calls.Result {
			got = call
			return answeredResult(200, "")
		})
		f.requireKeys(c.public)
		request := httptest.NewRequest("GET", "/lookup/", nil)
		request.RequestURI, request.Host = "/lookup/", "h"
		request.Header.Set("Samphireflow-Customer", "council")
		if c.authorization != "" {
			request.Header.Set("Authorization", c.authorization)
		}
		recorder := httptest.NewRecorder()
		f.ingress.ServeHTTP(recorder, request)
		require.Equal(t, c.status, recorder.Code, c.name)
		if c.status != http.StatusOK {
			require.Nil(t, got, c.name)
			continue
		}
		require.Equal(t, c.customer, got.Customer, c.name)
		require.Equal(t, c.customer, got.Header.Get("Samphireflow-Customer"), c.name)
		require.Empty(t, got.Header.Get("Authorization"), c.name)
		if c.customer != "" {
			require.Zero(t, got.Priority, "%s: the customer's priority", c.name)
		}
	}
}

// TestKeysOfCallersAreForwardedWithoutCustomers: without customers the field belongs to the backend servers.
func TestKeysOfCallersAreForwardedWithoutCustomers(t *testing.T) {
	var got *calls.Call
	f := newFixture(t, func(call *calls.Call, _ string, _ time.Time) *calls.Result {
		got = call
		return answeredResult(200, "")
	})
	request := httptest.NewRequest("GET", "/lookup/", nil)
	request.RequestURI, request.Host = "/lookup/", "h"
	request.Header.Set("Authorization", "Bearer k1")
	f.ingress.ServeHTTP(httptest.NewRecorder(), request)
	require.Equal(t, "Bearer k1", got.Header.Get("Authorization"))
	require.Empty(t, got.Customer)
}

// TestOutdatedNodeCannotTellThatARouteOrKeyIsUnknown: a node that is cut off has not heard of the newest routes and keys, so it
// asks the callers to come back.
func TestOutdatedNodeCannotTellThatARouteOrKeyIsUnknown(t *testing.T) {
	for _, c := range []struct {
		target   string
		outdated bool
		status   int
	}{
		{"/lookup/", false, 401}, {"/lookup/", true, 503}, {"/unknown/", false, 404}, {"/unknown/", true, 503},
	} {
		f := newFixture(t, func(*calls.Call, string, time.Time) *calls.Result { return answeredResult(200, "") })
		f.requireKeys(false)
		f.ingress.options.Outdated = func() bool { return c.outdated }
		response := f.call("GET", c.target, "")
		require.Equal(t, c.status, response.Code, c)
		require.Empty(t, f.sent)
		require.Equal(t, c.outdated, response.Header().Get("Retry-After") != "")
	}
}
