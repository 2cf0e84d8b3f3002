//go:build cgo && linux

// The C file of this package is compiled only beside a Go file that uses cgo.

package main

import "C"
