// Package imitator holds small stand-ins for what lies outside the project: a
// model engine, a plain service, and the platform's table service, object
// store and instance list.
//
// They serve tests and the command dev. They are no simulator: they model
// neither the network nor time beyond the clock that they are given. Each can
// be told to fail in the ways that the real thing does.
package imitator
