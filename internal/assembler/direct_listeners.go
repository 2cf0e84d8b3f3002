package assembler

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/connector"
)

// directListeners are the listening sockets of a Direct.
type directListeners struct {
	frontend, ready, metrics, peer net.Listener
	datagrams                      net.PacketConn
}

// listen opens all sockets and registers their release.
func (direct *Direct) listen(ctx context.Context) error {
	sockets := []struct {
		address  string
		listener *net.Listener
	}{
		{direct.settings.Listen, &direct.listeners.frontend},
		{direct.settings.ReadyListen, &direct.listeners.ready},
		{direct.settings.MetricsListen, &direct.listeners.metrics},
		{direct.settings.PeerListen, &direct.listeners.peer},
	}
	config := net.ListenConfig{Control: connector.UserTimeoutControl(ackTimeout)}
	for _, socket := range sockets {
		if socket.address == "" {
			continue
		}
		listener, err := config.Listen(ctx, "tcp", socket.address)
		if err != nil {
			return eris.Wrapf(err, "listen at %s", socket.address)
		}
		*socket.listener = listener
		direct.onRelease(func() { _ = listener.Close() })
	}
	// Peers send datagrams to the same port to which they connect.
	address := direct.listeners.peer.Addr().String()
	datagrams, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	direct.listeners.datagrams = datagrams
	direct.onRelease(func() { _ = datagrams.Close() })
	return nil
}

// addressOf returns the address of a listener, or "" if it is nil.
func addressOf(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}
