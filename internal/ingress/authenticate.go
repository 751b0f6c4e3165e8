package ingress

import (
	"net/http"
	"strings"

	"samphireflow/internal/calls"
	"samphireflow/internal/customer"
	"samphireflow/internal/routing"
)

// authenticate returns the customer whose key a request presents, nil for a request without one that a public route allows.
// It does nothing while the configuration does not ask for keys.
func authenticate(table *routing.Table, route *routing.Route, header http.Header, names calls.Headers) (*customer.Customer, *refusal) {
	if !table.CallerLimits.Authenticated {
		return nil, nil
	}
	caller := table.Customers.ByKey(presentedKey(header, names))
	if caller == nil && !route.Settings.Public {
		return nil, &refusal{status: http.StatusUnauthorized, message: "no customer has the key of the request"}
	}
	return caller, nil
}

// presentedKey returns the key in the header of a request, empty if there is none.
func presentedKey(header http.Header, names calls.Headers) string {
	value := header.Get(names.Key)
	if names.KeyScheme == "" {
		return value
	}
	scheme, key, found := strings.Cut(value, " ")
	if !found || !strings.EqualFold(scheme, names.KeyScheme) {
		return ""
	}
	return strings.TrimSpace(key)
}

// replaceKey removes the key from the header that is forwarded and sets the name of the customer, whatever the caller sent
// under that field.
func replaceKey(header http.Header, caller *customer.Customer, names calls.Headers) {
	header.Del(names.Key)
	if names.Customer == "" {
		return
	}
	header.Del(names.Customer)
	if caller != nil {
		header.Set(names.Customer, caller.Name)
	}
}
