// Package handler wraps typed functions as HTTP handlers, so that status pages and the
// stand-ins of platform and engines decode and encode JSON alike.
package handler
