package cli

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/beechhead/beechhead/internal/claim"
)

type claimsCommand struct {
	remote
	Account string `long:"account" value-name:"NAME" description:"Only the claims of this client account"`
	State   string `long:"state" choice:"running" choice:"done" choice:"unknown" choice:"released" description:"Only the claims in this state"`
	Limit   int    `long:"limit" value-name:"N" default:"100" description:"Claims of one page, before --state is applied"`
	After   string `long:"after" value-name:"PLACE" description:"Where the last page ended"`
}

// Execute prints one page of the claims.
func (c *claimsCommand) Execute([]string) error {
	query := url.Values{"account": {c.Account}, "after": {c.After}, "limit": {strconv.Itoa(c.Limit)}}
	var page claim.Page
	if err := c.call(http.MethodGet, "/v1/claims?"+query.Encode(), nil, &page); err != nil {
		return err
	}
	c.filter(&page)
	return c.print(page, func() {
		g := newGrid(c.out, "ACCOUNT", "SERVICE", "KEY", "STATE", "SINCE", "HOST")
		for _, e := range page.Claims {
			g.row(e.Account, e.Service, e.Key, e.State, e.At.UTC().Format(time.RFC3339), e.Holder.Host)
		}
		g.flush()
		if page.Next != "" {
			fmt.Fprintf(c.out, "more: --after %s\n", page.Next)
		}
	})
}

// filter keeps the claims of the wanted state.
func (c *claimsCommand) filter(page *claim.Page) {
	if c.State == "" {
		return
	}
	kept := []claim.Entry{}
	for _, e := range page.Claims {
		if string(e.State) == c.State {
			kept = append(kept, e)
		}
	}
	page.Claims = kept
}
