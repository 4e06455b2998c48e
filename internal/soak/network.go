package soak

import (
	"fmt"
	"net"
	"strconv"

	"github.com/go-faster/errors"
)

const (
	// networks is how many runs may go on at once, each in a loopback network of its own
	// from firstNetwork on.
	networks     = 200
	firstNetwork = 20
	// portReserved is listened on, at the first address of a network, for as long as a run
	// uses the network.
	portReserved = 18499
)

var errNoNetwork = errors.New("other runs use all loopback networks")

// hostAddress returns the address of a port of a host in a loopback network.
func hostAddress(network, host, port int) string {
	return net.JoinHostPort(fmt.Sprintf("127.%d.0.%d", network, host), strconv.Itoa(port))
}

// reserveNetwork returns the number of a loopback network that no other run on this
// machine uses until release is called. It tries them in order from a number on.
func reserveNetwork(from int) (network int, release func(), err error) {
	for i := range networks {
		network = firstNetwork + (from+i)%networks
		l, err := net.Listen("tcp", hostAddress(network, 1, portReserved))
		if err == nil {
			return network, func() { _ = l.Close() }, nil
		}
	}
	return 0, nil, errNoNetwork
}
