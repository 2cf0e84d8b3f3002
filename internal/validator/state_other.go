//go:build !linux

package validator

import "net"

// stateOf returns unknown.
func stateOf(net.Conn) connState { return unknown }

// endedBefore returns false: whether the other side had sent its end isn't known.
func endedBefore(error) bool { return false }
