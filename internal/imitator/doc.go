// Package imitator provides small fakes of external systems: a model engine, a plain
// service, and the platform's table service, object store and instance list.
//
// Tests and the command dev use them. They are not a simulation: they model neither
// the network nor time beyond the clock that they are given. Each can inject the
// failures of the real system.
package imitator
