package cloud

import (
	"context"
	"net/http"
	"net/url"

	"sableusher/internal/wire"
)

// listPageSize is the number of machines on one page of a list, as a query parameter.
const listPageSize = "500"

// Catalog returns the machine types that the cloud rents out.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var catalog wire.Catalog
	err := c.call(ctx, http.MethodGet, "/catalog", nil, &catalog)
	return catalog, err
}

// Rent rents machines and returns their names, which may be fewer than requested. It is idempotent:
// requests with the same name return the same machines. It fails with ErrNoCapacity if no machine is
// available. After any error but ErrNoCapacity and ErrMalformedRequest the machines may have been
// rented nevertheless.
func (c *Client) Rent(ctx context.Context, request wire.RentalRequest) ([]string, error) {
	var rented wire.MachineNames
	err := c.call(ctx, http.MethodPost, "/machines", request, &rented)
	return rented.Names, err
}

// Delete deletes machines. If it returns nil, the machines are gone.
func (c *Client) Delete(ctx context.Context, machines []string) error {
	return c.call(ctx, http.MethodPost, "/machines/return", wire.MachineNames{Names: machines}, nil)
}

// List returns all machines of the deployment. The list may be stale: recent rentals may be missing from it and
// recently deleted machines may still be in it.
func (c *Client) List(ctx context.Context) ([]wire.CloudMachine, error) {
	var machines []wire.CloudMachine
	query := url.Values{"page": {listPageSize}}
	for {
		var page wire.MachinePage
		if err := c.call(ctx, http.MethodGet, "/machines?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.HasMore || len(page.Machines) == 0 {
			return machines, nil
		}
		query.Set("after", page.Machines[len(page.Machines)-1].ID)
	}
}
