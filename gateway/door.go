package gateway

// This file defines the doors of a gateway that callers have no business with: the check of readiness, the calls
// of peers and the pages of operators. Whoever reaches the VM may come to them all the same, and must
// neither take the memory and the descriptors that callers need nor keep those away that a door is for. Each door
// has memory and connections of its own, which process.Conns gives out, and a bound on the time of a request.

import (
	"net/http"
	"time"

	"github.com/ragwortpass/ragwortpass/memory"
	"github.com/ragwortpass/ragwortpass/process"
)

const (
	// doorHeaderBytes limits the head of a request. Those whom the doors are for send less than one kilobyte.
	doorHeaderBytes = 16 << 10
	// doorRequestTime is how long a request may take to arrive, and doorWriteTime an answer to be read. The load balancer
	// asks once a second and does not wait for longer. A peer gives up after 0.6 s, so that its request has
	// peerRequestTime.
	doorRequestTime = 5 * time.Second
	peerRequestTime = time.Second
	doorWriteTime   = 5 * time.Second
	// The parts of the sockets for the doors, and the least number of connections that one may have.
	readySocketFraction = 1.0 / 32
	peerSocketFraction  = 1.0 / 8
	pageSocketFraction  = 1.0 / 32
	minDoorConns        = 16
)

// door is a server with bounds of its own.
type door struct {
	name, address string
	patience      time.Duration // for the port; zero: for ever
	sockets       float64       // part of the sockets of the process
	requestTime   time.Duration // in which a request has to arrive
	memory        *memory.Budget
	handler       http.Handler
}

// maxConns returns how many connections a door may have in a process with a number of descriptors; zero: no limit.
func (d *door) maxConns(descriptors int) int {
	if descriptors == 0 {
		return 0
	}
	return max(minDoorConns, process.SocketPart(d.sockets, descriptors))
}

// openDoor starts the server of a door.
func (p *Program) openDoor(d *door) {
	server := &http.Server{
		Handler: d.handler, ReadHeaderTimeout: d.requestTime, ReadTimeout: d.requestTime, WriteTimeout: doorWriteTime,
		IdleTimeout: defaultIdleTimeout, MaxHeaderBytes: doorHeaderBytes,
	}
	conns := process.NewConns(process.ConnsConfig{
		Prefix: d.name + "_", IdleTimeout: func() time.Duration { return 0 }, Memory: d.memory, MaxOpen: d.maxConns(p.settings.MaxDescriptors),
		Registry: p.registry, Logger: p.logger,
	}, server, p.servers.listen(d.name, d.address, d.patience))
	p.servers.start(d.name, server, conns)
}
