// Package storekeeper is the project's side of the platform: its transactional
// table service, its object store and its list of instances.
//
// The three are concrete types with function fields, so that a test or the
// embedded stand-in can take the platform's place. A write whose answer was
// lost returns ErrUnknown: it may or may not have taken effect, and the caller
// settles it by reading back.
package storekeeper
