package cloud

import (
	"context"
	"net/http"
	"net/url"

	"sableusher/internal/wire"
)

// listPageSize is the number of machines on one page of a list, as the query says it.
const listPageSize = "500"

// Catalog returns the machine types.
func (c *Client) Catalog(ctx context.Context) (wire.Catalog, error) {
	var catalog wire.Catalog
	err := c.call(ctx, http.MethodGet, "/catalog", nil, &catalog)
	return catalog, err
}

// Rent asks for machines and returns their names, which may be fewer than asked for. A request
// with the same name gives the same answer. It fails with ErrNoCapacity if there are none; after an
// ErrUnavailable the machines may have been rented all the same.
func (c *Client) Rent(ctx context.Context, request wire.RentalRequest) ([]string, error) {
	var rented wire.MachineNames
	err := c.call(ctx, http.MethodPost, "/machines", request, &rented)
	return rented.Names, err
}

// Return deletes machines; once it returns nil they are gone.
func (c *Client) Return(ctx context.Context, machines []string) error {
	return c.call(ctx, http.MethodPost, "/machines/return", wire.MachineNames{Names: machines}, nil)
}

// List returns all machines of the deployment. The list may lag behind rentals and returns.
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
