package assembler

import (
	"context"
	"net"

	"github.com/rotisserie/eris"

	"github.com/trefoilseam/trefoilseam/internal/connector"
)

// directListeners are the sockets of the process.
type directListeners struct {
	front, ready, metrics, peers net.Listener
	datagrams                    net.PacketConn
}

// listen opens all sockets; what was opened is closed with the process.
func (direct *Direct) listen(ctx context.Context) error {
	sockets := []struct {
		address  string
		listener *net.Listener
	}{
		{direct.settings.Listen, &direct.listeners.front},
		{direct.settings.ReadyListen, &direct.listeners.ready},
		{direct.settings.MetricsListen, &direct.listeners.metrics},
		{direct.settings.PeerListen, &direct.listeners.peers},
	}
	config := net.ListenConfig{Control: connector.UserTimeoutControl(callerSilence)}
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
	// Datagrams come at the same port as connections of peers.
	address := direct.listeners.peers.Addr().String()
	datagrams, err := (&net.ListenConfig{}).ListenPacket(ctx, "udp", address)
	if err != nil {
		return eris.Wrapf(err, "listen at %s", address)
	}
	direct.listeners.datagrams = datagrams
	direct.onRelease(func() { _ = datagrams.Close() })
	return nil
}

// addressOf returns where a listener listens; "" when there is none.
func addressOf(listener net.Listener) string {
	if listener == nil {
		return ""
	}
	return listener.Addr().String()
}
