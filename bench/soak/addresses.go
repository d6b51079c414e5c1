package soak

import (
	"fmt"
	"net"

	"github.com/pkg/errors"
)

const (
	// Blocks of addresses are 127.firstBlockNet.0.0/24 and the following ones; the tests of
	// other packages use lower networks.
	firstBlockNet = 100
	blockNets     = 100
	blocksPerNet  = 256
	// lockPort is the port that a run listens on to reserve a block.
	lockPort = 8100
	// firstPort is the first port of a node. It is below the ports that the kernel
	// assigns to outgoing connections, which would otherwise take a stopped node's port.
	firstPort = 8101
	// firstHost is the last byte of the first node's address.
	firstHost = 10
)

// addressBlock is a /24 of the loopback network that one run has to itself, so that runs
// side by side, also of the same seed, do not take each other's addresses.
type addressBlock struct {
	net.Listener // Reserves the block until it is closed.
	prefix       string
}

// reserveBlock reserves a block that no other run uses. The seed selects where the search begins.
func reserveBlock(seed uint64) (*addressBlock, error) {
	const blocks = blockNets * blocksPerNet
	var last error
	for i := range uint64(blocks) {
		at := (seed + i) % blocks
		prefix := fmt.Sprintf("127.%d.%d", firstBlockNet+at/blocksPerNet, at%blocksPerNet)
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", prefix, lockPort))
		if err == nil {
			return &addressBlock{Listener: l, prefix: prefix}, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "no free block of addresses")
}

// host returns the address of node i.
func (b *addressBlock) host(i int) string { return fmt.Sprintf("%s.%d", b.prefix, firstHost+i) }

// listenAddresses returns the listening addresses of a node, its upstream and its fault proxy.
func listenAddresses(ip string) []string {
	addresses := make([]string, listenersPerNode)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%s:%d", ip, firstPort+i)
	}
	return addresses
}
