// Package handler turns typed functions into HTTP handlers, so that status
// pages and the stand-ins share one way of reading and writing JSON.
package handler
